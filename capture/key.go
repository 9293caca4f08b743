package capture

import (
	"bytes"
	"crypto/hkdf"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"os"
	"slices"

	"foxwood/policy"
)

const (
	secretSize = 32 // bytes of a key file's secret
	linkSize   = sha256.Size
	printSize  = 8
)

// Key is what a capture's chain and ids are made with. The zero Key is none: its chain
// tells damage but not intent, and ids stand as they are.
type Key struct {
	chain     []byte
	customers []byte
	print     [printSize]byte
}

// NewKey derives a key from a secret (RFC 5869).
func NewKey(secret []byte) (Key, error) {
	if len(secret) != secretSize {
		return Key{}, fmt.Errorf("capture: a key of %d bytes, not %d", len(secret), secretSize)
	}
	var k Key
	for _, part := range [...]struct {
		info string
		size int
		to   func([]byte)
	}{
		{"foxwood capture chain", linkSize, func(b []byte) { k.chain = b }},
		{"foxwood capture customers", linkSize, func(b []byte) { k.customers = b }},
		{"foxwood capture fingerprint", printSize, func(b []byte) { copy(k.print[:], b) }},
	} {
		b, err := hkdf.Key(sha256.New, secret, nil, part.info, part.size)
		if err != nil {
			return Key{}, fmt.Errorf("capture: key: %w", err)
		}
		part.to(b)
	}
	return k, nil
}

// ReadKey reads a key file: 64 hex digits, readable by its owner alone.
func ReadKey(file string) (Key, error) {
	info, err := os.Stat(file)
	if err != nil {
		return Key{}, fmt.Errorf("capture: key: %w", err)
	}
	if loose := info.Mode().Perm() & 0o077; loose != 0 {
		return Key{}, fmt.Errorf("capture: key: %s may be used by others than its owner (mode %04o): chmod 600 it", file, info.Mode().Perm())
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return Key{}, fmt.Errorf("capture: key: %w", err)
	}
	secret, err := hex.DecodeString(string(bytes.TrimSpace(text)))
	if err != nil {
		return Key{}, fmt.Errorf("capture: key: %s: %w", file, err)
	}
	return NewKey(secret)
}

// Set tells whether there is a key.
func (k *Key) Set() bool { return k.customers != nil }

// link is the next link of the chain.
func (k *Key) link(before []byte, parts ...[]byte) []byte {
	secret := k.chain
	if secret == nil {
		secret = make([]byte, linkSize)
	}
	h := hmac.New(sha256.New, secret)
	h.Write(before)
	for _, p := range parts {
		h.Write(p)
	}
	return h.Sum(nil)
}

// The tweaks of the permutation.
const (
	ofCustomers = 0
	ofNames     = 1
)

const feistelRounds = 4

// hide replaces an id by another: a permutation of 64 bits that the key chooses (a
// Feistel network, M. Luby and C. Rackoff, 1988). Without a key it is the id itself.
func (k *Key) hide(id uint64, tweak byte) uint64 {
	if !k.Set() {
		return id
	}
	l, r := uint32(id>>32), uint32(id)
	for i := range byte(feistelRounds) {
		l, r = r, l^k.round(i, tweak, r)
	}
	return uint64(l)<<32 | uint64(r)
}

// show is the id that hide replaced.
func (k *Key) show(id uint64, tweak byte) uint64 {
	if !k.Set() {
		return id
	}
	l, r := uint32(id>>32), uint32(id)
	for i := range byte(feistelRounds) {
		l, r = r^k.round(feistelRounds-1-i, tweak, l), l
	}
	return uint64(l)<<32 | uint64(r)
}

// hideState is a state with the customers' keys and the counter names in it replaced, as
// records have them. It leaves the state that it is given as it is.
func (k *Key) hideState(s policy.Snapshot) policy.Snapshot { return k.turn(s, k.hide) }

// showState is the state that hideState replaced.
func (k *Key) showState(s policy.Snapshot) policy.Snapshot { return k.turn(s, k.show) }

func (k *Key) turn(s policy.Snapshot, by func(uint64, byte) uint64) policy.Snapshot {
	if !k.Set() {
		return s
	}
	s.Clients, s.Draws = slices.Clone(s.Clients), slices.Clone(s.Draws)
	for i := range s.Clients {
		s.Clients[i].Key = by(s.Clients[i].Key, ofCustomers)
	}
	for i := range s.Draws {
		s.Draws[i].Name = by(s.Draws[i].Name, ofNames)
	}
	return s
}

func (k *Key) round(n, tweak byte, half uint32) uint32 {
	h := hmac.New(sha256.New, k.customers)
	h.Write(binary.LittleEndian.AppendUint32([]byte{n, tweak}, half))
	return binary.LittleEndian.Uint32(h.Sum(nil))
}
