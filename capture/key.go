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
	secretSize      = 32          // bytes of a key file's secret
	macSize         = sha256.Size // bytes of a MAC
	fingerprintSize = 8           // bytes of a key's fingerprint
)

// Key authenticates a capture and encrypts its customer ids and counter names. The zero
// Key means no key: MACs then detect accidental damage but not deliberate changes, and ids
// are stored unencrypted.
type Key struct {
	macKey      []byte
	idKey       []byte
	fingerprint [fingerprintSize]byte
}

// NewKey derives a Key from a secret of 32 bytes, with HKDF (RFC 5869).
func NewKey(secret []byte) (Key, error) {
	if len(secret) != secretSize {
		return Key{}, fmt.Errorf("capture: key has %d bytes, want %d", len(secret), secretSize)
	}
	var k Key
	for _, derived := range [...]struct {
		info string
		size int
		to   func([]byte)
	}{
		{"foxwood capture chain", macSize, func(b []byte) { k.macKey = b }},
		{"foxwood capture customers", macSize, func(b []byte) { k.idKey = b }},
		{"foxwood capture fingerprint", fingerprintSize, func(b []byte) { copy(k.fingerprint[:], b) }},
	} {
		b, err := hkdf.Key(sha256.New, secret, nil, derived.info, derived.size)
		if err != nil {
			return Key{}, fmt.Errorf("capture: key: %w", err)
		}
		derived.to(b)
	}
	return k, nil
}

// ReadKey reads a key file, which holds 64 hex digits. It refuses a file that others than
// its owner have access to.
func ReadKey(file string) (Key, error) {
	info, err := os.Stat(file)
	if err != nil {
		return Key{}, fmt.Errorf("capture: key: %w", err)
	}
	if othersAccess := info.Mode().Perm() & 0o077; othersAccess != 0 {
		return Key{}, fmt.Errorf("capture: key: %s has mode %04o, want access for its owner only: run chmod 600", file, info.Mode().Perm())
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

// IsSet reports whether k is a key, and not the zero Key.
func (k *Key) IsSet() bool { return k.idKey != nil }

// mac returns the MAC of a block or a segment's header, chained to the previous MAC.
func (k *Key) mac(previousMAC []byte, parts ...[]byte) []byte {
	secret := k.macKey
	if secret == nil {
		secret = make([]byte, macSize)
	}
	h := hmac.New(sha256.New, secret)
	h.Write(previousMAC)
	for _, p := range parts {
		h.Write(p)
	}
	return h.Sum(nil)
}

// The tweaks of the id encryption, by which a customer id and an equal counter name are
// encrypted differently.
const (
	customerTweak = 0
	counterTweak  = 1
)

// feistelRounds is the number of rounds of the id encryption.
const feistelRounds = 4

// encryptID encrypts an id with a keyed permutation of 64-bit values, a Feistel network
// (M. Luby and C. Rackoff, 1988). Without a key it returns the id unchanged.
func (k *Key) encryptID(id uint64, tweak byte) uint64 {
	if !k.IsSet() {
		return id
	}
	l, r := uint32(id>>32), uint32(id)
	for i := range byte(feistelRounds) {
		l, r = r, l^k.roundFunction(i, tweak, r)
	}
	return uint64(l)<<32 | uint64(r)
}

// decryptID decrypts an id that encryptID encrypted.
func (k *Key) decryptID(id uint64, tweak byte) uint64 {
	if !k.IsSet() {
		return id
	}
	l, r := uint32(id>>32), uint32(id)
	for i := range byte(feistelRounds) {
		l, r = r^k.roundFunction(feistelRounds-1-i, tweak, l), l
	}
	return uint64(l)<<32 | uint64(r)
}

// encryptState returns a copy of a state with its customer ids and counter names encrypted.
func (k *Key) encryptState(s policy.Snapshot) policy.Snapshot { return k.mapIDs(s, k.encryptID) }

// decryptState decrypts the ids of a state that encryptState encrypted.
func (k *Key) decryptState(s policy.Snapshot) policy.Snapshot { return k.mapIDs(s, k.decryptID) }

// mapIDs returns a copy of a state with its customer ids and counter names replaced by those
// that replace returns.
func (k *Key) mapIDs(s policy.Snapshot, replace func(uint64, byte) uint64) policy.Snapshot {
	if !k.IsSet() {
		return s
	}
	s.Customers, s.PendingCalls = slices.Clone(s.Customers), slices.Clone(s.PendingCalls)
	for i := range s.Customers {
		s.Customers[i].Key = replace(s.Customers[i].Key, customerTweak)
	}
	for i := range s.PendingCalls {
		s.PendingCalls[i].Name = replace(s.PendingCalls[i].Name, counterTweak)
	}
	return s
}

// roundFunction is the round function of the Feistel network.
func (k *Key) roundFunction(n, tweak byte, half uint32) uint32 {
	h := hmac.New(sha256.New, k.idKey)
	h.Write(binary.LittleEndian.AppendUint32([]byte{n, tweak}, half))
	return binary.LittleEndian.Uint32(h.Sum(nil))
}
