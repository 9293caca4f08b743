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

// crashFileSystem is a file system that knows what a power loss would leave of it: names are
// durable once their directory was synced; later changes may be there or not; and of a file that
// was never synced there may be a part, or zeros. When a call of the library is over, the library
// has synced what it wrote (TestStopsWhenSyncFails): from then on (persistFiles) the content of
// files is durable.
type crashFileSystem struct {
	osFileSystem
	root        string
	current     map[string]*directory // names as the running process sees them
	durable     map[string]*directory // names that survive a power loss
	pending     []pendingChange       // changes since the last sync of the root
	beforeStep  func()                // called before each operation
	afterMake   func(dir string)      // called after a directory was created
	stepsLeft   int                   // operations until the crash; negative for none
	failOnce    bool                  // only one operation fails, and there is no crash
	failedStep  string                // the first operation that failed
	skippedSync int                   // index of the sync that is skipped although it reports success; negative for none
	steps       []string              // operations so far
	syncs       int
}

// directory is a generation's directory under any name.
type directory struct{ durable map[string][]byte }

// pendingChange is a change of a directory entry that is not durable yet.
type pendingChange struct {
	from, to string // a removal has no to, a creation no from
	dir      *directory
}

// newCrashFileSystem returns a file system that never crashes by itself.
func newCrashFileSystem(root string) *crashFileSystem {
	return &crashFileSystem{root: root, current: map[string]*directory{}, durable: map[string]*directory{}, stepsLeft: -1, skippedSync: -1}
}

// step counts an operation and fails it if the crash has come.
func (p *crashFileSystem) step(what, path string) error {
	if p.beforeStep != nil {
		p.beforeStep()
	}
	name := what + " " + filepath.Base(path)
	if p.stepsLeft == 0 {
		if p.failedStep == "" {
			p.failedStep = name
		}
		if p.failOnce {
			p.stepsLeft = -1
		}
		return errCrash
	}
	if p.stepsLeft > 0 {
		p.stepsLeft--
	}
	p.steps = append(p.steps, name)
	return nil
}

func (p *crashFileSystem) Make(dir string) error {
	if err := p.step("make", dir); err != nil {
		return err
	}
	name := filepath.Base(dir)
	p.current[name] = &directory{map[string][]byte{}}
	p.pending = append(p.pending, pendingChange{to: name, dir: p.current[name]})
	if err := p.osFileSystem.Make(dir); err != nil || p.afterMake == nil {
		return err
	}
	p.afterMake(dir)
	return nil
}

func (p *crashFileSystem) Rename(from, to string) error {
	if err := p.step("rename", from); err != nil {
		return err
	}
	fromName, toName := filepath.Base(from), filepath.Base(to)
	p.pending = append(p.pending, pendingChange{fromName, toName, p.current[fromName]})
	p.current[toName] = p.current[fromName]
	delete(p.current, fromName)
	return p.osFileSystem.Rename(from, to)
}

func (p *crashFileSystem) Remove(path string) error {
	if err := p.step("remove", path); err != nil {
		return err
	}
	if filepath.Dir(path) == p.root {
		name := filepath.Base(path)
		p.pending = append(p.pending, pendingChange{from: name, dir: p.current[name]})
		delete(p.current, name)
	}
	return p.osFileSystem.Remove(path)
}

func (p *crashFileSystem) Sync(dir string) error {
	p.persistFiles()
	if err := p.step("sync", dir); err != nil {
		return err
	}
	p.syncs++
	if p.syncs-1 == p.skippedSync {
		return nil
	}
	if dir == p.root {
		p.durable, p.pending = maps.Clone(p.current), nil
		return nil
	}
	p.current[filepath.Base(dir)].durable = readFiles(dir)
	return p.osFileSystem.Sync(dir)
}

// persistFiles makes the content of files with durable names durable.
func (p *crashFileSystem) persistFiles() {
	for name, dir := range p.current {
		content := readFiles(filepath.Join(p.root, name))
		for file := range dir.durable {
			if data, ok := content[file]; ok {
				dir.durable[file] = data
			}
		}
	}
}

// readFiles reads the files of a directory.
func readFiles(dir string) map[string][]byte {
	out := map[string][]byte{}
	entries, _ := os.ReadDir(dir)
	for _, e := range entries {
		if data, err := os.ReadFile(filepath.Join(dir, e.Name())); err == nil {
			out[e.Name()] = data
		}
	}
	return out
}

// image is what a power loss left: directories with their files.
type image map[string]map[string][]byte

// write creates the directories of the image.
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

// possibleContents returns everything a directory can hold after a power loss.
func (n *directory) possibleContents(current map[string][]byte) []map[string][]byte {
	contents := []map[string][]byte{{}}
	names := maps.Clone(n.durable)
	maps.Copy(names, current)
	for _, name := range slices.Sorted(maps.Keys(names)) {
		data, exists := current[name]
		durable, wasDurable := n.durable[name]
		candidates := [][]byte{data}
		switch {
		case !exists:
			candidates = [][]byte{durable, nil}
		case wasDurable && bytes.Equal(data, durable):
		case wasDurable: // appended to since the last sync: the new part may be torn
			half := (len(durable) + len(data)) / 2
			zeros := append(bytes.Clone(durable), make([]byte, len(data)-len(durable))...)
			candidates = [][]byte{durable, data, data[:half], zeros}
		default:
			candidates = [][]byte{nil, data, {}, data[:len(data)/2], make([]byte, len(data))}
		}
		var nextContents []map[string][]byte
		for _, partial := range contents {
			for _, data := range candidates {
				extended := maps.Clone(partial)
				if data != nil {
					extended[name] = data
				}
				nextContents = append(nextContents, extended)
			}
		}
		contents = nextContents
	}
	return contents
}

// eachImage calls visit with each state that a power loss can leave now.
func (p *crashFileSystem) eachImage(visit func(image)) {
	current := map[*directory]map[string][]byte{}
	for name, dir := range p.current {
		current[dir] = readFiles(filepath.Join(p.root, name))
	}
	for subset := range 1 << len(p.pending) {
		names := maps.Clone(p.durable)
		for i, change := range p.pending {
			if subset&(1<<i) == 0 {
				continue
			}
			if change.from != "" && names[change.from] == change.dir {
				delete(names, change.from)
			}
			if change.to != "" {
				names[change.to] = change.dir
			}
		}
		sorted := slices.Sorted(maps.Keys(names))
		var pick func(i int, img image)
		pick = func(i int, img image) {
			if i == len(sorted) {
				visit(img)
				return
			}
			dir := names[sorted[i]]
			for _, files := range dir.possibleContents(current[dir]) {
				img[sorted[i]] = files
				pick(i+1, img)
			}
			delete(img, sorted[i])
		}
		pick(0, image{})
	}
}

// key identifies an image by its contents.
func (i image) key() string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(i)) {
		fmt.Fprintf(&b, "%s:", name)
		for _, file := range slices.Sorted(maps.Keys(i[name])) {
			fmt.Fprintf(&b, "%s=%x,", file, xxh3.Hash(i[name][file]))
		}
	}
	return b.String()
}
