package recordlog

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/zeebo/xxh3"
	"gotest.tools/v3/assert"
)

var errCrash = errors.New("crash")

// power is the machine's own folders, and knows what a loss of power would leave of them: names
// last once their folder was synced, whatever comes after may be there or not, and of a file that
// was never synced a part, or zeros. The library has synced what it wrote when a call of it is over
// (TestStopsWhereASyncFails): from then on, at settle, a file's content lasts.
type power struct {
	osFolders
	root    string
	now     map[string]*folder // as the running process sees them
	lasts   map[string]*folder
	undone  []renamed // since the root's last sync
	at      func()    // is called before each step
	made    func(dir string)
	left    int    // steps until the crash; below 0 there is none
	once    bool   // only one step is refused, and no crash
	refused string // the first step that was
	forgets int    // which sync is left out, though the caller believes in it; below 0 none
	did     []string
	syncs   int
}

// folder is a generation's, under whichever name.
type folder struct{ lasts map[string][]byte }

type renamed struct {
	from, to string // a removal has no to, and a creation no from
	node     *folder
}

func newPower(root string) *power {
	return &power{root: root, now: map[string]*folder{}, lasts: map[string]*folder{}, left: -1, forgets: -1}
}

func (p *power) step(what, path string) error {
	if p.at != nil {
		p.at()
	}
	is := what + " " + filepath.Base(path)
	if p.left == 0 {
		if p.refused == "" {
			p.refused = is
		}
		if p.once {
			p.left = -1
		}
		return errCrash
	}
	if p.left > 0 {
		p.left--
	}
	p.did = append(p.did, is)
	return nil
}

func (p *power) Make(dir string) error {
	if err := p.step("make", dir); err != nil {
		return err
	}
	name := filepath.Base(dir)
	p.now[name] = &folder{map[string][]byte{}}
	p.undone = append(p.undone, renamed{to: name, node: p.now[name]})
	if err := p.osFolders.Make(dir); err != nil || p.made == nil {
		return err
	}
	p.made(dir)
	return nil
}

func (p *power) Rename(from, to string) error {
	if err := p.step("rename", from); err != nil {
		return err
	}
	a, b := filepath.Base(from), filepath.Base(to)
	p.undone = append(p.undone, renamed{a, b, p.now[a]})
	p.now[b] = p.now[a]
	delete(p.now, a)
	return p.osFolders.Rename(from, to)
}

func (p *power) Remove(path string) error {
	if err := p.step("remove", path); err != nil {
		return err
	}
	if filepath.Dir(path) == p.root {
		name := filepath.Base(path)
		p.undone = append(p.undone, renamed{from: name, node: p.now[name]})
		delete(p.now, name)
	}
	return p.osFolders.Remove(path)
}

func (p *power) Sync(dir string) error {
	p.settle()
	if err := p.step("sync", dir); err != nil {
		return err
	}
	p.syncs++
	if p.syncs-1 == p.forgets {
		return nil
	}
	if dir == p.root {
		p.lasts, p.undone = maps.Clone(p.now), nil
		return nil
	}
	p.now[filepath.Base(dir)].lasts = files(dir)
	return p.osFolders.Sync(dir)
}

// settle says that what stands in files whose names last was synced.
func (p *power) settle() {
	for name, n := range p.now {
		is := files(filepath.Join(p.root, name))
		for file := range n.lasts {
			if data, ok := is[file]; ok {
				n.lasts[file] = data
			}
		}
	}
}

func files(dir string) map[string][]byte {
	out := map[string][]byte{}
	entries, _ := os.ReadDir(dir)
	for _, e := range entries {
		if data, err := os.ReadFile(filepath.Join(dir, e.Name())); err == nil {
			out[e.Name()] = data
		}
	}
	return out
}

// image is what is left: folders, and their files.
type image map[string]map[string][]byte

func (i image) write(t *testing.T) string {
	dir := t.TempDir()
	for name, files := range i {
		assert.NilError(t, os.Mkdir(filepath.Join(dir, name), 0o700))
		for file, data := range files {
			assert.NilError(t, os.WriteFile(filepath.Join(dir, name, file), data, 0o600))
		}
	}
	return dir
}

// contents gives all that a folder can hold after a loss of power.
func (n *folder) contents(is map[string][]byte) []map[string][]byte {
	all := []map[string][]byte{{}}
	names := maps.Clone(n.lasts)
	maps.Copy(names, is)
	for _, name := range slices.Sorted(maps.Keys(names)) {
		now, there := is[name]
		old, lasts := n.lasts[name]
		can := [][]byte{now}
		switch {
		case !there:
			can = [][]byte{old, nil}
		case lasts && bytes.Equal(now, old):
		case lasts: // written since: the growth is torn
			half := (len(old) + len(now)) / 2
			zeros := append(bytes.Clone(old), make([]byte, len(now)-len(old))...)
			can = [][]byte{old, now, now[:half], zeros}
		default:
			can = [][]byte{nil, now, {}, now[:len(now)/2], make([]byte, len(now))}
		}
		var next []map[string][]byte
		for _, have := range all {
			for _, data := range can {
				with := maps.Clone(have)
				if data != nil {
					with[name] = data
				}
				next = append(next, with)
			}
		}
		all = next
	}
	return all
}

// images calls visit with each state that a loss of power can leave now.
func (p *power) images(visit func(image)) {
	is := map[*folder]map[string][]byte{}
	for name, n := range p.now {
		is[n] = files(filepath.Join(p.root, name))
	}
	for subset := range 1 << len(p.undone) {
		names := maps.Clone(p.lasts)
		for i, c := range p.undone {
			if subset&(1<<i) == 0 {
				continue
			}
			if c.from != "" && names[c.from] == c.node {
				delete(names, c.from)
			}
			if c.to != "" {
				names[c.to] = c.node
			}
		}
		sorted := slices.Sorted(maps.Keys(names))
		var pick func(i int, im image)
		pick = func(i int, im image) {
			if i == len(sorted) {
				visit(im)
				return
			}
			n := names[sorted[i]]
			for _, files := range n.contents(is[n]) {
				im[sorted[i]] = files
				pick(i+1, im)
			}
			delete(im, sorted[i])
		}
		pick(0, image{})
	}
}

func (i image) id() string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(i)) {
		fmt.Fprintf(&b, "%s:", name)
		for _, file := range slices.Sorted(maps.Keys(i[name])) {
			fmt.Fprintf(&b, "%s=%x,", file, xxh3.Hash(i[name][file]))
		}
	}
	return b.String()
}
