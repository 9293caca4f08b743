package forecast

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
	"gotest.tools/v3/assert"
)

func given(t *testing.T) (*site, *kinds) {
	t.Helper()
	s, err := readSite("testdata/site.toml")
	assert.NilError(t, err)
	text, err := os.ReadFile("testdata/kinds.txt")
	assert.NilError(t, err)
	k, err := readKinds(string(text), s)
	assert.NilError(t, err)
	return s, k
}

// TestKinds: both lists, the words in prose and what only the site uses are read.
func TestKinds(t *testing.T) {
	_, k := given(t)
	got := map[string]string{}
	for _, one := range k.list {
		got[one.name] = fmt.Sprintf("%d %v %g %s", one.group, one.plan, one.x, strings.Join(one.hows, ","))
	}
	want := map[string]string{
		"srv_grey":           "2 false 0.4 ,errors,shed,mute,slow,+one_zone",
		"srv_lying_health":   "2 false 0 ,hang,reset,bad",
		"srv_crash":          "2 false 0 ,dark,gone",
		"cold_return":        "2 false 0 ,dark",
		"hot_tenant":         "3 false 7.5 ",
		"garble":             "2 false 0.02 ,extra,extra late",
		"roll_term":          "1 true 1 ,remove,busy",
		"herd_kill":          "1 false 0 ,taken,power",
		"after_ack_kill":     "1 false 0 ,kill,timed,taken",
		"after_ack_wipe":     "1 false 0 ,kill,timed,taken",
		"core_cut":           "1 false 0 ,one_way,both",
		"config_change":      "0 true 0 ,route,weights",
		"replace_with_reuse": "2 false 0 ,drain,dark",
		"replace_core":       "1 false 1 ,planned",
		"clock_step":         "1 false 2000 ,back,ahead",
		"ack_lost":           "0 false 0.7 ",
		"evacuate":           "0 true 0 ,warm",
		"fog":                "0 false 0 ,thick",
	}
	assert.DeepEqual(t, got, want)
	assert.DeepEqual(t, [][]string{k.aims, k.afters, k.cuts, k.spread},
		[][]string{{"leader", "reader", "seed"}, {"meet", "race", "hard", "drain", "busy"}, {"reset", "refuse"}, {"across", "all"}})
	assert.Equal(t, len(k.closings), 10, "%v", k.closings)
}

// TestSameSeed: one seed gives the same bytes, another gives others.
func TestSameSeed(t *testing.T) {
	for _, profile := range profiles {
		var dirs [3]string
		for i, seed := range []string{"7", "7", "8"} {
			dirs[i] = t.TempDir()
			assert.Equal(t, Main([]string{"draw", "-site", "testdata/site.toml", "-kinds", "testdata/kinds.txt",
				"-profile", profile, "-seed", seed, "-days", "3", "-out", dirs[i]}), 0)
		}
		for n := 7; n < 10; n++ {
			name := fmt.Sprintf("three-huts-%s-%d.toml", profile, n)
			one, err := os.ReadFile(filepath.Join(dirs[0], name))
			assert.NilError(t, err)
			same, err := os.ReadFile(filepath.Join(dirs[1], name))
			assert.NilError(t, err)
			assert.Equal(t, string(one), string(same))
			if n == 7 {
				continue
			}
			// The seed alone tells the day, not where in a row of days it stood.
			same, err = os.ReadFile(filepath.Join(dirs[2], name))
			assert.NilError(t, err)
			assert.Equal(t, string(one), string(same))
		}
	}
	s, k := given(t)
	assert.Assert(t, !bytes.Equal(draw(s, k, "all", 7, 60).text(), draw(s, k, "all", 8, 60).text()))
}

// dayEntry is all that an entry may hold.
type dayEntry struct {
	At, Share, X                 float64
	Kind, How, Zone, Service, On string
	Count                        int
	ToZone                       string  `toml:"to_zone"`
	ForS                         float64 `toml:"for_s"`
	GapS                         float64 `toml:"gap_s"`
}

// TestDays: each day is well formed, inside its length, and names only what the site and the kinds have.
func TestDays(t *testing.T) {
	s, k := given(t)
	zones, services := []string{"", "north-a", "south-a"}, []string{"", "soup", "beds"}
	for _, profile := range profiles {
		for seed := range uint64(60) {
			length := 60 + 15*float64(seed%3)
			text := draw(s, k, profile, seed, length).text()
			var got struct {
				Name, Slot string
				Seed       int64
				LengthS    float64 `toml:"length_s"`
				Closing    struct {
					Kind, How string
					DownS     float64 `toml:"down_s"`
				}
				Plan, Faults []dayEntry
			}
			d := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
			assert.NilError(t, d.Decode(&got), "%s", text)
			assert.Assert(t, strings.HasPrefix(string(text), fmt.Sprintf("# Drawn for three-huts: profile %s, seed %d, %g s.\n", profile, seed, length)))
			assert.Equal(t, got.LengthS, length)
			assert.Assert(t, got.Seed > 0 && got.Name != "")
			assert.Assert(t, got.Closing.Kind == "" || got.Closing.DownS >= 0.5 && got.Closing.DownS <= 2)
			replaced := 0
			for _, list := range [][]dayEntry{got.Plan, got.Faults} {
				before := 0.0
				for _, e := range list {
					assert.Assert(t, e.At >= earliestS && e.At <= length-lastS && e.At >= before, "%+v", e)
					assert.Assert(t, e.ForS >= 0 && e.At+e.ForS <= length+0.001, "%+v", e)
					assert.Assert(t, e.ForS > 0 || slices.Contains(instant, e.Kind), "%+v", e)
					assert.Assert(t, e.Share >= 0 && e.Share <= 1 && e.X >= 0 && e.Count >= 0 && e.GapS >= 0, "%+v", e)
					assert.Assert(t, slices.Contains(zones, e.Zone) && slices.Contains(zones, e.ToZone) && slices.Contains(services, e.Service), "%+v", e)
					assert.Assert(t, e.On == "" || e.On == "core" && e.Count > 0, "%+v", e)
					assert.Assert(t, slices.ContainsFunc(k.list, func(one kind) bool { return one.name == e.Kind }), "%+v", e)
					if e.Kind == "replace_core" {
						replaced++
					}
					words := strings.Fields(e.How)
					lost := e.Kind == "replace_with_reuse" || slices.Contains(words, "gone")
					assert.Assert(t, !lost || !slices.Contains(words, "all"), "%+v", e)
					before = e.At
				}
			}
			assert.Assert(t, replaced <= replacementsMost)
			n := len(got.Plan) + len(got.Faults)
			assert.Assert(t, n >= 5 && n < 700, "%s", text)
		}
	}
}

// TestReached: seeds in a row reach each kind, more of them each variant and closing; the core's profile reaches
// up to three replacements, that of changes hundreds of changes.
func TestReached(t *testing.T) {
	s, k := given(t)
	kindsSeen, hows := map[string]bool{}, map[string]bool{}
	for seed := range uint64(len(k.list)) {
		for _, e := range draw(s, k, "all", 1000+seed, 60).entries {
			kindsSeen[e.kind()] = true
		}
	}
	assert.Equal(t, len(kindsSeen), len(k.list), "%v", kindsSeen)
	closings, replaced, most := map[string]bool{}, map[int]bool{}, 0
	for seed := range uint64(400) {
		for _, profile := range profiles {
			d := draw(s, k, profile, seed, 60)
			n, changes := 0, 0
			for _, e := range d.entries {
				words := strings.Fields(e.how())
				for i := range words {
					hows[e.kind()+" "+words[i]] = true
					hows[e.kind()+" "+strings.Join(words[:i+1], " ")] = true
				}
				if e.kind() == "replace_core" {
					n++
				}
				if e.kind() == "config_change" {
					changes++
				}
			}
			if profile == "core" {
				replaced[n] = true
			}
			if profile == "changes" {
				most = max(most, changes)
			}
			if c, is := d.head["closing"].(table); is {
				closings[fmt.Sprint(c["kind"], c["how"])] = true
			}
		}
	}
	for _, one := range k.list {
		for _, how := range one.hows {
			assert.Assert(t, how == "" || hows[one.name+" "+strings.TrimPrefix(how, "+")], "%s %s", one.name, how)
		}
	}
	for _, how := range []string{"node_kill leader", "herd_kill race", "core_cut refuse", "garble across", "srv_grey slow one_zone", "roll_term busy"} {
		name, _, _ := strings.Cut(how, " ")
		if slices.ContainsFunc(k.list, func(one kind) bool { return one.name == name }) {
			assert.Assert(t, hows[how], how)
		}
	}
	assert.Equal(t, len(closings), len(k.closings))
	assert.Equal(t, len(replaced), replacementsMost+1)
	assert.Assert(t, most > 250, "%d", most)
}

// TestColdStarts: a day of cold starts has returns of both kinds, and troubles around them.
func TestColdStarts(t *testing.T) {
	s, k := given(t)
	seen := map[string]int{}
	for seed := range uint64(10) {
		for _, e := range draw(s, k, "cold", seed, 60).entries {
			seen[e.kind()]++
		}
	}
	assert.Assert(t, seen["cold_return"] >= 40 && seen["evacuate"] >= 15, "%v", seen)
	assert.Assert(t, seen["core_cut"] >= 10 && seen["herd_kill"] > 0, "%v", seen)
	assert.Equal(t, seen["burst"], 0, "the bench of the test has none")
}

// TestWithout: what is left out does not come, nor breaks a profile that is about it.
func TestWithout(t *testing.T) {
	dir := t.TempDir()
	for _, profile := range profiles {
		assert.Equal(t, Main([]string{"draw", "-site", "testdata/site.toml", "-kinds", "testdata/kinds.txt", "-without", "replace_core,config_change",
			"-profile", profile, "-days", "8", "-out", dir}), 0)
	}
	files, err := filepath.Glob(filepath.Join(dir, "*.toml"))
	assert.NilError(t, err)
	assert.Equal(t, len(files), 8*len(profiles))
	for _, file := range files {
		d, err := readDay(file)
		assert.NilError(t, err)
		assert.Assert(t, len(d.entries) > 0)
		for _, e := range d.entries {
			assert.Assert(t, e.kind() != "replace_core" && e.kind() != "config_change")
		}
	}
}

// TestBadInput: what is no site, no kinds or no proper call is said.
func TestBadInput(t *testing.T) {
	_, err := readKinds("Each entry has 'at'.\n", &site{})
	assert.ErrorContains(t, err, "names none")
	file := filepath.Join(t.TempDir(), "site.toml")
	assert.NilError(t, os.WriteFile(file, []byte("name = \"x\"\n"), 0o644))
	_, err = readSite(file)
	assert.ErrorContains(t, err, "no site")
	for _, args := range [][]string{{"draw"}, {"draw", "-site", file, "-out", t.TempDir(), "-length", "30"},
		{"draw", "-site", file, "-out", t.TempDir(), "-profile", "odd"}, {"shrink", "x"}, {"play"}, {"verdict"}} {
		assert.Equal(t, Main(args), 2, "%v", args)
	}
	assert.Equal(t, Main([]string{"draw", "-site", file, "-kinds", "testdata/kinds.txt", "-out", t.TempDir()}), 3)
}

// TestHalves: a day of halves has the core cut in two several times, and orders and losses around the cuts.
func TestHalves(t *testing.T) {
	s, k := given(t)
	cuts, rest := 0, 0
	for seed := range uint64(10) {
		for _, e := range draw(s, k, "halves", seed, 60).entries {
			if how, _ := e.table["how"].(string); strings.HasPrefix(how, "split") {
				cuts++
			} else {
				rest++
			}
		}
	}
	assert.Assert(t, cuts >= 40 && rest >= 60, "%d cuts, %d others", cuts, rest)
}
