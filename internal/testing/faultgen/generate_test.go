package faultgen

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

// readTestdata reads the site and the kinds in testdata.
func readTestdata(t *testing.T) (*site, *faultCatalog) {
	t.Helper()
	parsedSite, err := readSite("testdata/site.toml")
	assert.NilError(t, err)
	description, err := os.ReadFile("testdata/kinds.txt")
	assert.NilError(t, err)
	catalog, err := readKinds(string(description), parsedSite)
	assert.NilError(t, err)
	return parsedSite, catalog
}

// TestReadKinds checks that both lists, the modifiers in the prose, and the kinds that only the site uses are read.
func TestReadKinds(t *testing.T) {
	_, catalog := readTestdata(t)
	got := map[string]string{}
	for _, known := range catalog.kinds {
		got[known.name] = fmt.Sprintf("%d %v %g %s", known.target, known.planned, known.usualX, strings.Join(known.variants, ","))
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
	assert.DeepEqual(t, [][]string{catalog.machineModifiers, catalog.returnModifiers, catalog.cutModifiers, catalog.serverModifiers},
		[][]string{{"leader", "reader", "seed"}, {"meet", "race", "hard", "drain", "busy"}, {"reset", "refuse"}, {"across", "all"}})
	assert.Equal(t, len(catalog.closings), 10, "%v", catalog.closings)
}

// TestDrawIsDeterministic checks that one seed always gives the same bytes, and another seed different ones.
func TestDrawIsDeterministic(t *testing.T) {
	for _, profile := range profiles {
		var dirs [3]string
		for i, seed := range []string{"7", "7", "8"} {
			dirs[i] = t.TempDir()
			assert.Equal(t, Main([]string{"draw", "-site", "testdata/site.toml", "-kinds", "testdata/kinds.txt",
				"-profile", profile, "-seed", seed, "-days", "3", "-out", dirs[i]}), 0)
		}
		for n := 7; n < 10; n++ {
			name := fmt.Sprintf("three-huts-%s-%d.toml", profile, n)
			want, err := os.ReadFile(filepath.Join(dirs[0], name))
			assert.NilError(t, err)
			got, err := os.ReadFile(filepath.Join(dirs[1], name))
			assert.NilError(t, err)
			assert.Equal(t, string(want), string(got))
			if n == 7 {
				continue
			}
			// The scenario depends on its seed only, not on its place in a series.
			got, err = os.ReadFile(filepath.Join(dirs[2], name))
			assert.NilError(t, err)
			assert.Equal(t, string(want), string(got))
		}
	}
	parsedSite, catalog := readTestdata(t)
	assert.Assert(t, !bytes.Equal(generate(parsedSite, catalog, "all", 7, 60).encode(), generate(parsedSite, catalog, "all", 8, 60).encode()))
}

// decodedEvent holds all keys that an event may have.
type decodedEvent struct {
	At, Share, X                 float64
	Kind, How, Zone, Service, On string
	Count                        int
	ToZone                       string  `toml:"to_zone"`
	ForS                         float64 `toml:"for_s"`
	GapS                         float64 `toml:"gap_s"`
}

// TestDrawnScenariosAreValid checks that each scenario is well formed, that its events lie within its length, and that
// it uses only names of the site and of the kinds.
func TestDrawnScenariosAreValid(t *testing.T) {
	parsedSite, catalog := readTestdata(t)
	zones, services := []string{"", "north-a", "south-a"}, []string{"", "soup", "beds"}
	for _, profile := range profiles {
		for seed := range uint64(60) {
			length := 60 + 15*float64(seed%3)
			text := generate(parsedSite, catalog, profile, seed, length).encode()
			var got struct {
				Name, Slot string
				Seed       int64
				LengthS    float64 `toml:"length_s"`
				Closing    struct {
					Kind, How string
					DownS     float64 `toml:"down_s"`
				}
				Plan, Faults []decodedEvent
			}
			decoder := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
			assert.NilError(t, decoder.Decode(&got), "%s", text)
			assert.Assert(t, strings.HasPrefix(string(text), fmt.Sprintf("# Drawn for three-huts: profile %s, seed %d, %g s.\n", profile, seed, length)))
			assert.Equal(t, got.LengthS, length)
			assert.Assert(t, got.Seed > 0 && got.Name != "")
			assert.Assert(t, got.Closing.Kind == "" || got.Closing.DownS >= 0.5 && got.Closing.DownS <= 2)
			replaced := 0
			for _, section := range [][]decodedEvent{got.Plan, got.Faults} {
				previousAt := 0.0
				for _, ev := range section {
					assert.Assert(t, ev.At >= firstEventS && ev.At <= length-endMarginS && ev.At >= previousAt, "%+v", ev)
					assert.Assert(t, ev.ForS >= 0 && ev.At+ev.ForS <= length+0.001, "%+v", ev)
					assert.Assert(t, ev.ForS > 0 || slices.Contains(instantKinds, ev.Kind), "%+v", ev)
					assert.Assert(t, ev.Share >= 0 && ev.Share <= 1 && ev.X >= 0 && ev.Count >= 0 && ev.GapS >= 0, "%+v", ev)
					assert.Assert(t, slices.Contains(zones, ev.Zone) && slices.Contains(zones, ev.ToZone) && slices.Contains(services, ev.Service), "%+v", ev)
					assert.Assert(t, ev.On == "" || ev.On == "core" && ev.Count > 0, "%+v", ev)
					assert.Assert(t, slices.ContainsFunc(catalog.kinds, func(known faultKind) bool { return known.name == ev.Kind }), "%+v", ev)
					if ev.Kind == "replace_core" {
						replaced++
					}
					words := strings.Fields(ev.How)
					forGood := ev.Kind == "replace_with_reuse" || slices.Contains(words, "gone")
					assert.Assert(t, !forGood || !slices.Contains(words, "all"), "%+v", ev)
					previousAt = ev.At
				}
			}
			assert.Assert(t, replaced <= maxReplacements)
			eventCount := len(got.Plan) + len(got.Faults)
			assert.Assert(t, eventCount >= 5 && eventCount < 700, "%s", text)
		}
	}
}

// TestDrawCoversAllKinds checks that consecutive seeds cover each kind and, over more seeds, each variant and closing
// fault. Profile core covers zero to three replacements, profile changes has hundreds of changes.
func TestDrawCoversAllKinds(t *testing.T) {
	parsedSite, catalog := readTestdata(t)
	kindsSeen, variantsSeen := map[string]bool{}, map[string]bool{}
	for seed := range uint64(len(catalog.kinds)) {
		for _, ev := range generate(parsedSite, catalog, "all", 1000+seed, 60).events {
			kindsSeen[ev.kindName()] = true
		}
	}
	assert.Equal(t, len(kindsSeen), len(catalog.kinds), "%v", kindsSeen)
	closings, replaced, maxChanges := map[string]bool{}, map[int]bool{}, 0
	for seed := range uint64(400) {
		for _, profile := range profiles {
			drawn := generate(parsedSite, catalog, profile, seed, 60)
			replacements, changes := 0, 0
			for _, ev := range drawn.events {
				words := strings.Fields(ev.variant())
				for i := range words {
					variantsSeen[ev.kindName()+" "+words[i]] = true
					variantsSeen[ev.kindName()+" "+strings.Join(words[:i+1], " ")] = true
				}
				if ev.kindName() == "replace_core" {
					replacements++
				}
				if ev.kindName() == "config_change" {
					changes++
				}
			}
			if profile == "core" {
				replaced[replacements] = true
			}
			if profile == "changes" {
				maxChanges = max(maxChanges, changes)
			}
			if closing, ok := drawn.header["closing"].(tomlTable); ok {
				closings[fmt.Sprint(closing["kind"], closing["how"])] = true
			}
		}
	}
	for _, known := range catalog.kinds {
		for _, variant := range known.variants {
			assert.Assert(t, variant == "" || variantsSeen[known.name+" "+strings.TrimPrefix(variant, "+")], "%s %s", known.name, variant)
		}
	}
	for _, variant := range []string{"node_kill leader", "herd_kill race", "core_cut refuse", "garble across", "srv_grey slow one_zone", "roll_term busy"} {
		name, _, _ := strings.Cut(variant, " ")
		if slices.ContainsFunc(catalog.kinds, func(known faultKind) bool { return known.name == name }) {
			assert.Assert(t, variantsSeen[variant], variant)
		}
	}
	assert.Equal(t, len(closings), len(catalog.closings))
	assert.Equal(t, len(replaced), maxReplacements+1)
	assert.Assert(t, maxChanges > 250, "%d", maxChanges)
}

// TestColdProfile checks that scenarios of profile cold have returns of both kinds, and faults around them.
func TestColdProfile(t *testing.T) {
	parsedSite, catalog := readTestdata(t)
	seen := map[string]int{}
	for seed := range uint64(10) {
		for _, ev := range generate(parsedSite, catalog, "cold", seed, 60).events {
			seen[ev.kindName()]++
		}
	}
	assert.Assert(t, seen["cold_return"] >= 40 && seen["evacuate"] >= 15, "%v", seen)
	assert.Assert(t, seen["core_cut"] >= 10 && seen["herd_kill"] > 0, "%v", seen)
	assert.Equal(t, seen["burst"], 0, "the kinds of this test have no burst")
}

// TestDrawWithoutKinds checks that kinds that are left out do not occur, and that profiles built on them still work.
func TestDrawWithoutKinds(t *testing.T) {
	dir := t.TempDir()
	for _, profile := range profiles {
		assert.Equal(t, Main([]string{"draw", "-site", "testdata/site.toml", "-kinds", "testdata/kinds.txt", "-without", "replace_core,config_change",
			"-profile", profile, "-days", "8", "-out", dir}), 0)
	}
	files, err := filepath.Glob(filepath.Join(dir, "*.toml"))
	assert.NilError(t, err)
	assert.Equal(t, len(files), 8*len(profiles))
	for _, file := range files {
		drawn, err := readScenario(file)
		assert.NilError(t, err)
		assert.Assert(t, len(drawn.events) > 0)
		for _, ev := range drawn.events {
			assert.Assert(t, ev.kindName() != "replace_core" && ev.kindName() != "config_change")
		}
	}
}

// TestInvalidInput checks the errors for an invalid site, an empty description of kinds, and invalid arguments.
func TestInvalidInput(t *testing.T) {
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

// TestHalvesProfile checks that scenarios of profile halves have several partitions of the core, and other events
// around them.
func TestHalvesProfile(t *testing.T) {
	parsedSite, catalog := readTestdata(t)
	partitions, others := 0, 0
	for seed := range uint64(10) {
		for _, ev := range generate(parsedSite, catalog, "halves", seed, 60).events {
			if variant, _ := ev.tomlTable["how"].(string); strings.HasPrefix(variant, "split") {
				partitions++
			} else {
				others++
			}
		}
	}
	assert.Assert(t, partitions >= 40 && others >= 60, "%d cuts, %d others", partitions, others)
}
