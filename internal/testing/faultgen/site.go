package faultgen

import (
	"fmt"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// site is the part of a site file that is needed to generate scenarios. Fields without a tag are decoded under their
// own names, ignoring case.
type site struct {
	Name     string
	Zones    []struct{ Name, Region string }
	Machines []struct {
		Class string
		Count int
	}
	Services   []struct{ Name string }
	Classes    []struct{ Name string }
	SiteFaults []tomlTable            `toml:"troubles"` // faults that may occur at the site
	Tolerated  struct{ Machines int } `toml:"tolerate"` // core machines that may fail at once without breaking a rule
	// The site's own scenarios.
	Scenarios []struct {
		Closing      tomlTable
		Plan, Faults []tomlTable
	} `toml:"day"`
}

// readSite reads a site file.
func readSite(file string) (*site, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	parsed := &site{}
	if err := toml.Unmarshal(text, parsed); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	if parsed.Name == "" || len(parsed.Zones) == 0 || len(parsed.Services) == 0 || len(parsed.Machines) == 0 {
		return nil, fmt.Errorf("%s: no site: expected a name, zones, services and machines, got name %q, %d zones, %d services and %d machine classes", file,
			parsed.Name, len(parsed.Zones), len(parsed.Services), len(parsed.Machines))
	}
	return parsed, nil
}

// faultKind is a kind of fault or planned work, as the simulator describes it.
type faultKind struct {
	name             string
	target           target
	description      string          // the simulator's text
	descriptionWords map[string]bool // words of the description
	variants         []string        // variants, including ""; one with a leading + is combined with another
	planned          bool
	hasX             bool    // has the parameter x, whose meaning depends on the kind
	usualX           float64 // usual value of x; 0 if the description gives none
}

// target tells what a kind of fault affects.
type target int

const (
	targetOperator target = iota // actions of the operator
	targetMachines               // machines of the load balancer
	targetServers                // workers
	targetTraffic                // requests of the clients
)

// faultCatalog is the catalogue of everything that may occur at a site.
type faultCatalog struct {
	kinds    []faultKind
	closings []tomlTable // faults that may end a scenario, each with kind and how

	// Modifiers that can be combined with the variants of many kinds.
	machineModifiers []string // which machine is hit
	returnModifiers  []string // what happens when the machine returns
	cutModifiers     []string // how the other side sees a cut connection
	serverModifiers  []string // which workers are hit
}

// Patterns for the simulator's description of kinds.
var (
	kindPattern             = regexp.MustCompile(`^([a-z_]+): (.+)$`)
	closingPattern          = regexp.MustCompile(`^closing = \{ kind = ([a-z_ |]+),`)
	variantsPattern         = regexp.MustCompile(`\bhow: `)
	explainedVariantPattern = regexp.MustCompile(`\bhow ([a-z]+): `)
	usualXPattern           = regexp.MustCompile(`\bx (?:[a-z]+ )?\(([0-9.]+)\)`)
	wordPattern             = regexp.MustCompile(`[a-z_]+`)
	variantPattern          = regexp.MustCompile(`^\+?[a-z_]+$`)
	bracketsPattern         = regexp.MustCompile(`\([^()]*\)`)
)

// readKinds parses the simulator's description of kinds. It adds the kinds and variants that only the site's own
// scenarios use.
func readKinds(description string, parsedSite *site) (*faultCatalog, error) {
	catalog := &faultCatalog{}
	var prose strings.Builder
	for line := range strings.Lines(description) {
		line = strings.TrimSpace(line)
		if match := closingPattern.FindStringSubmatch(line); match != nil {
			variants := []string{""}
			for _, variant := range explainedVariantPattern.FindAllStringSubmatch(line, -1) {
				variants = append(variants, variant[1])
			}
			for name := range strings.SplitSeq(match[1], "|") {
				for _, variant := range variants {
					catalog.addClosing(strings.TrimSpace(name), variant)
				}
			}
		} else if match := kindPattern.FindStringSubmatch(line); match != nil {
			catalog.addDescribed(match[1], match[2])
		} else {
			prose.WriteString(line + "\n")
		}
	}
	if len(catalog.kinds) == 0 {
		return nil, fmt.Errorf("the description of kinds names none: expected lines of the form NAME: DESCRIPTION")
	}
	// The modifiers that apply to many kinds are mentioned in the prose around the list.
	mentioned := func(words ...string) []string {
		return slices.DeleteFunc(words, func(w string) bool {
			return !regexp.MustCompile(`\b` + w + `\b`).MatchString(prose.String())
		})
	}
	catalog.machineModifiers, catalog.returnModifiers = mentioned("leader", "reader", "seed"), mentioned("meet", "race", "hard", "drain", "busy")
	catalog.cutModifiers, catalog.serverModifiers = mentioned("reset", "refuse"), mentioned("across", "all")
	for _, fields := range parsedSite.SiteFaults {
		catalog.addUsage(fields)
	}
	for _, day := range parsedSite.Scenarios {
		if day.Closing != nil {
			variant, _ := day.Closing["how"].(string)
			name, _ := day.Closing["kind"].(string)
			catalog.addClosing(name, variant)
		}
		for _, fields := range day.Plan {
			catalog.addUsage(fields).planned = true
		}
		for _, fields := range day.Faults {
			catalog.addUsage(fields)
		}
	}
	return catalog, nil
}

// addClosing adds a closing fault unless it is known.
func (k *faultCatalog) addClosing(name, variant string) {
	same := func(known tomlTable) bool { return known["kind"] == name && known["how"] == variant }
	if !slices.ContainsFunc(k.closings, same) {
		k.closings = append(k.closings, tomlTable{"kind": name, "how": variant})
	}
}

// findOrAdd returns the kind of a name, and adds it if it is new.
func (k *faultCatalog) findOrAdd(name string) *faultKind {
	i := slices.IndexFunc(k.kinds, func(known faultKind) bool { return known.name == name })
	if i < 0 {
		i = len(k.kinds)
		k.kinds = append(k.kinds, faultKind{name: name, target: targetOf(name, ""), variants: []string{""}})
	}
	return &k.kinds[i]
}

// remove removes a kind.
func (k *faultCatalog) remove(name string) {
	k.kinds = slices.DeleteFunc(k.kinds, func(known faultKind) bool { return known.name == name })
}

// addDescribed adds a kind by its description.
func (k *faultCatalog) addDescribed(name, description string) {
	added := k.findOrAdd(name)
	added.description, added.target, added.planned = description, targetOf(name, description), slices.Contains(plannedKinds, name)
	if strings.HasPrefix(description, "the same") && len(k.kinds) > 1 {
		// The description continues that of the line before.
		before := k.kinds[len(k.kinds)-2]
		added.description, added.variants = before.description+"; "+description, slices.Clone(before.variants)
	}
	added.descriptionWords = map[string]bool{}
	for _, word := range wordPattern.FindAllString(added.description, -1) {
		added.descriptionWords[word] = true
	}
	added.hasX = added.descriptionWords["x"]
	if match := usualXPattern.FindStringSubmatch(description); match != nil {
		added.usualX, _ = strconv.ParseFloat(match[1], 64)
	}
	for _, variant := range parseVariants(description) {
		if !slices.Contains(added.variants, variant) {
			added.variants = append(added.variants, variant)
		}
	}
}

// addUsage adds the kind of an event in the site file, with the variant and the value of x used there.
func (k *faultCatalog) addUsage(fields tomlTable) *faultKind {
	name, _ := fields["kind"].(string)
	used := k.findOrAdd(name)
	if variant, _ := fields["how"].(string); !slices.Contains(used.variants, variant) {
		used.variants = append(used.variants, variant)
	}
	if x := toFloat(fields["x"]); x > 0 && used.usualX == 0 {
		used.usualX, used.hasX = x, true
	}
	return used
}

// parseVariants returns the words that a description allows for 'how'. It understands lists, words with an explanation
// in brackets or after a comma, and clauses in brackets.
func parseVariants(description string) []string {
	var words []string
	for _, match := range explainedVariantPattern.FindAllStringSubmatch(description, -1) {
		words = append(words, match[1])
	}
	for _, position := range variantsPattern.FindAllStringIndex(description, -1) {
		rest, depth, end := description[position[1]:], 0, 0
		inside := strings.Count(description[:position[0]], "(") > strings.Count(description[:position[0]], ")")
	scan:
		for end = 0; end < len(rest); end++ {
			switch rest[end] {
			case '(':
				depth++
			case ')':
				if depth == 0 {
					break scan
				}
				depth--
			case ';':
				if depth == 0 && !inside {
					break scan
				}
			}
		}
		clause := rest[:end]
		for bracketsPattern.MatchString(clause) {
			clause = bracketsPattern.ReplaceAllString(clause, "")
		}
		for part := range strings.FieldsFuncSeq(clause, func(r rune) bool { return r == ',' || r == ';' }) {
			fields := strings.Fields(strings.ReplaceAll(part, "+ ", "+"))
			if len(fields) == 0 || slices.Contains([]string{"they", "the", "a", "it"}, fields[0]) {
				continue // an explanation, not a variant
			}
			for _, candidate := range fields {
				if variantPattern.MatchString(candidate) && !slices.Contains(words, candidate) {
					words = append(words, candidate)
				}
			}
		}
	}
	return words
}

// plannedKinds holds the kinds of planned work. A site's own scenarios needn't contain them.
var plannedKinds = []string{"release", "scale_in", "scale_out", "roll_term", "hup", "seed_turnover", "config_change", "config_storm", "config_race",
	"bad_config", "big_config", "revoke", "evacuate"}

// targetPatterns maps patterns of kind names to what the kinds affect.
var targetPatterns = []struct {
	pattern *regexp.Regexp
	target  target
}{
	{regexp.MustCompile(`^(config_|bad_config|big_config|revoke|evacuate|ack_lost)`), targetOperator},
	{regexp.MustCompile(`^(node_|core_|disk_|zone_|after_ack_|roll_term|herd_kill|clock_step|replace_core|reset_conns|hup|seed_)`), targetMachines},
	{regexp.MustCompile(`^(burst|hot_|retry_)`), targetTraffic},
	{regexp.MustCompile(`^(srv_|release|scale_|cold_|answer_|garble|replace_with|idle_)`), targetServers},
}

// targetOf returns what a kind affects: by its name, or for an unknown name by its description.
func targetOf(name, description string) target {
	for _, entry := range targetPatterns {
		if entry.pattern.MatchString(name) {
			return entry.target
		}
	}
	switch {
	case strings.Contains(description, "servers"):
		return targetServers
	case strings.Contains(description, "machine") || strings.Contains(description, "disk"):
		return targetMachines
	}
	return targetOperator
}
