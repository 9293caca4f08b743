package forecast

import (
	"fmt"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// site is what a day needs to know of a deployment.
type site struct {
	Name     string
	Zones    []struct{ Name, Region string }
	Machines []struct {
		Class string
		Count int
	}
	Services []struct{ Name string }
	Classes  []struct{ Name string }
	Troubles []table
	Tolerate struct{ Machines int }
	Day      []struct {
		Closing      table
		Plan, Faults []table
	}
}

func readSite(file string) (*site, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	s := &site{}
	if err := toml.Unmarshal(text, s); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	if s.Name == "" || len(s.Zones) == 0 || len(s.Services) == 0 || len(s.Machines) == 0 {
		return nil, fmt.Errorf("%s: no site: a name, zones, services and machines are needed", file)
	}
	return s, nil
}

// kind is a kind of trouble as the bench describes it.
type kind struct {
	name  string
	group group
	says  string
	words map[string]bool // of what it says
	hows  []string        // variants, "" among them; one with a + goes with another
	plan  bool            // planned work
	hasX  bool
	x     float64 // as a rule; 0 where none is told
}

// group says what a kind strikes.
type group int

const (
	orders   group = iota // the operator's
	machines              // of the system
	servers
	traffic
)

// kinds is all that may come.
type kinds struct {
	list     []kind
	closings []table // kind and how
	// aims are which machine is struck, afters what comes with its return, cuts how a cut is felt, and
	// spread which servers.
	aims, afters, cuts, spread []string
}

var (
	kindLine    = regexp.MustCompile(`^([a-z_]+): (.+)$`)
	closingLine = regexp.MustCompile(`^closing = \{ kind = ([a-z_ |]+),`)
	howClause   = regexp.MustCompile(`\bhow: `)
	howTaken    = regexp.MustCompile(`\bhow ([a-z]+): `)
	xValue      = regexp.MustCompile(`\bx (?:[a-z]+ )?\(([0-9.]+)\)`)
	anyWord     = regexp.MustCompile(`[a-z_]+`)
	word        = regexp.MustCompile(`^\+?[a-z_]+$`)
	brackets    = regexp.MustCompile(`\([^()]*\)`)
)

// readKinds reads the description of kinds. What the site's own days and troubles use belongs to it.
func readKinds(text string, s *site) (*kinds, error) {
	k := &kinds{}
	var prose strings.Builder
	for line := range strings.Lines(text) {
		line = strings.TrimSpace(line)
		if m := closingLine.FindStringSubmatch(line); m != nil {
			hows := []string{""}
			for _, how := range howTaken.FindAllStringSubmatch(line, -1) {
				hows = append(hows, how[1])
			}
			for name := range strings.SplitSeq(m[1], "|") {
				for _, how := range hows {
					k.closing(strings.TrimSpace(name), how)
				}
			}
		} else if m := kindLine.FindStringSubmatch(line); m != nil {
			k.add(m[1], m[2])
		} else {
			prose.WriteString(line + "\n")
		}
	}
	if len(k.list) == 0 {
		return nil, fmt.Errorf("the description of kinds names none")
	}
	// The words that go with many kinds stand in prose.
	said := func(words ...string) []string {
		return slices.DeleteFunc(words, func(w string) bool {
			return !regexp.MustCompile(`\b` + w + `\b`).MatchString(prose.String())
		})
	}
	k.aims, k.afters = said("leader", "reader", "seed"), said("meet", "race", "hard", "drain", "busy")
	k.cuts, k.spread = said("reset", "refuse"), said("across", "all")
	for _, t := range s.Troubles {
		k.seen(t)
	}
	for _, d := range s.Day {
		if d.Closing != nil {
			how, _ := d.Closing["how"].(string)
			name, _ := d.Closing["kind"].(string)
			k.closing(name, how)
		}
		for _, t := range d.Plan {
			k.seen(t).plan = true
		}
		for _, t := range d.Faults {
			k.seen(t)
		}
	}
	return k, nil
}

func (k *kinds) closing(name, how string) {
	same := func(t table) bool { return t["kind"] == name && t["how"] == how }
	if !slices.ContainsFunc(k.closings, same) {
		k.closings = append(k.closings, table{"kind": name, "how": how})
	}
}

// find gives a kind, which is made where it is new.
func (k *kinds) find(name string) *kind {
	i := slices.IndexFunc(k.list, func(one kind) bool { return one.name == name })
	if i < 0 {
		i = len(k.list)
		k.list = append(k.list, kind{name: name, group: groupOf(name, ""), hows: []string{""}})
	}
	return &k.list[i]
}

// leave takes a kind out.
func (k *kinds) leave(name string) {
	k.list = slices.DeleteFunc(k.list, func(one kind) bool { return one.name == name })
}

func (k *kinds) add(name, says string) {
	one := k.find(name)
	one.says, one.group, one.plan = says, groupOf(name, says), slices.Contains(planned, name)
	if strings.HasPrefix(says, "the same") && len(k.list) > 1 {
		// The line before tells the rest.
		before := k.list[len(k.list)-2]
		one.says, one.hows = before.says+"; "+says, slices.Clone(before.hows)
	}
	one.words = map[string]bool{}
	for _, w := range anyWord.FindAllString(one.says, -1) {
		one.words[w] = true
	}
	one.hasX = one.words["x"]
	if m := xValue.FindStringSubmatch(says); m != nil {
		one.x, _ = strconv.ParseFloat(m[1], 64)
	}
	for _, how := range variants(says) {
		if !slices.Contains(one.hows, how) {
			one.hows = append(one.hows, how)
		}
	}
}

// seen takes up how the site uses a kind.
func (k *kinds) seen(t table) *kind {
	name, _ := t["kind"].(string)
	one := k.find(name)
	if how, _ := t["how"].(string); !slices.Contains(one.hows, how) {
		one.hows = append(one.hows, how)
	}
	if x := number(t["x"]); x > 0 && one.x == 0 {
		one.x, one.hasX = x, true
	}
	return one
}

// variants finds the words that a description allows for 'how': lists, words with an explanation in
// brackets or behind a comma, clauses in brackets.
func variants(says string) []string {
	var words []string
	for _, m := range howTaken.FindAllStringSubmatch(says, -1) {
		words = append(words, m[1])
	}
	for _, at := range howClause.FindAllStringIndex(says, -1) {
		rest, depth, end := says[at[1]:], 0, 0
		inside := strings.Count(says[:at[0]], "(") > strings.Count(says[:at[0]], ")")
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
		for brackets.MatchString(clause) {
			clause = brackets.ReplaceAllString(clause, "")
		}
		for part := range strings.FieldsFuncSeq(clause, func(r rune) bool { return r == ',' || r == ';' }) {
			fields := strings.Fields(strings.ReplaceAll(part, "+ ", "+"))
			if len(fields) == 0 || slices.Contains([]string{"they", "the", "a", "it"}, fields[0]) {
				continue // an explanation
			}
			for _, w := range fields {
				if word.MatchString(w) && !slices.Contains(words, w) {
					words = append(words, w)
				}
			}
		}
	}
	return words
}

// planned are kinds of planned work that the days of a site may lack.
var planned = []string{"release", "scale_in", "scale_out", "roll_term", "hup", "seed_turnover", "config_change", "config_storm", "config_race",
	"bad_config", "big_config", "revoke", "evacuate"}

var groups = []struct {
	is   *regexp.Regexp
	what group
}{
	{regexp.MustCompile(`^(config_|bad_config|big_config|revoke|evacuate|ack_lost)`), orders},
	{regexp.MustCompile(`^(node_|core_|disk_|zone_|after_ack_|roll_term|herd_kill|clock_step|replace_core|reset_conns|hup|seed_)`), machines},
	{regexp.MustCompile(`^(burst|hot_|retry_)`), traffic},
	{regexp.MustCompile(`^(srv_|release|scale_|cold_|answer_|garble|replace_with|idle_)`), servers},
}

// groupOf goes by the name, and for a kind that is new by its description.
func groupOf(name, says string) group {
	for _, g := range groups {
		if g.is.MatchString(name) {
			return g.what
		}
	}
	switch {
	case strings.Contains(says, "servers"):
		return servers
	case strings.Contains(says, "machine") || strings.Contains(says, "disk"):
		return machines
	}
	return orders
}
