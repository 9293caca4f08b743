package overloadtest

import (
	"fmt"
	"os"
	"runtime"
	"slices"
	"strings"
)

// sortChanges sorts changes by time.
func sortChanges(changes []levelChange) {
	slices.SortFunc(changes, func(a, b levelChange) int { return a.at.Compare(b.at) })
}

// modeTitles holds the titles of the shedding modes in the report. With "alike" and "whole" a registry sets
// one shedding level for all proxies, which "alike" applies to each service separately. With "solitary" and
// "dice" each proxy decides alone; "dice" sheds at random.
var modeTitles = map[string]string{"alike": "one level, a cut for each service", "whole": "one cut for all services", "solitary": "each gatekeeper alone", "dice": "by dice, each alone"}

// formatReport returns the report of all runs as Markdown. The first run gives the detailed tables.
func formatReport(runs []*runResult) string {
	var b strings.Builder
	writef := func(format string, a ...any) { fmt.Fprintf(&b, format, a...) }
	mainRun := runs[0]
	writef("Fits: %.0f requests a second; %d gatekeepers, %d core machines, %d workers; settling time %v.\n", capacity(), proxyCount, coreCount,
		workersPerService*len(services), settlingTime)
	writef("Machine: %d processors; load average %s.\n", runtime.NumCPU(), loadAverage())
	writef("\n### By tier, in parts of a hundred of the offered (served in time / shed by the level)\n\n| stage | load |")
	for t := range tierCount {
		writef(" tier %d |", t)
	}
	writef(" no room | in doubt |\n| --- | --- |%s --- | --- |\n", strings.Repeat(" --- |", tierCount))
	for i, current := range mainRun.stages {
		writef("| %s | %.1f |", current.name, current.loadFactor)
		for t := range tierCount {
			if counts := mainRun.counts[[3]int{i, t, -1}]; counts != nil {
				writef(" %.1f / %.1f |", percent(counts.metTarget, counts.offered), percent(counts.shed, counts.offered))
			} else {
				writef(" |")
			}
		}
		counts := mainRun.counts[[3]int{i, -1, -1}]
		writef(" %.2f | %.2f |\n", percent(counts.refused, counts.offered), percent(counts.other, counts.offered))
	}
	writef("\n### By tier and kind of route, whole run\n\n| tier | route | offered | accepted | shed | no room | in doubt | served in time |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for t := range tierCount {
		for r, current := range services {
			var counts requestCounts
			for i := range mainRun.stages {
				if part := mainRun.counts[[3]int{i, t, r}]; part != nil {
					counts = requestCounts{counts.offered + part.offered, counts.succeeded + part.succeeded, counts.metTarget + part.metTarget, counts.shed + part.shed, counts.refused + part.refused, counts.other + part.other}
				}
			}
			writef("| %d | %s | %d | %d | %d | %d | %d | %.1f%% |\n", t, current.name, counts.offered, counts.succeeded, counts.shed, counts.refused, counts.other, percent(counts.metTarget, counts.offered))
		}
	}
	writef("\n### Ways compared, at twice what fits\n\n| way |")
	for t := range tierCount {
		writef(" tier %d in time |", t)
	}
	writef(" all in time, of what fits | same caller alike, settled | alike, all the while | out of order |\n| --- |%s --- | --- | --- | --- |\n", strings.Repeat(" --- |", tierCount))
	for _, run := range runs {
		for i, current := range run.stages {
			if current.name != "twice" {
				continue
			}
			writef("| %s |", modeTitles[run.mode])
			for t := range tierCount {
				if counts := run.counts[[3]int{i, t, -1}]; counts != nil {
					writef(" %.1f%% |", percent(counts.metTarget, counts.offered))
				} else {
					writef(" |")
				}
			}
			counts, verdict := run.counts[[3]int{i, -1, -1}], run.verdict
			writef(" %.1f%% | %.2f%% of %d | %.2f%% of %d | %d |\n", percent(counts.metTarget, counts.offered)*current.loadFactor, percent(verdict.settledPairsAgreeing, verdict.settledPairs), verdict.settledPairs,
				percent(verdict.allPairsAgreeing, verdict.allPairs), verdict.allPairs, verdict.outOfOrder)
		}
	}
	verdict, duration := mainRun.verdict, mainRun.end.Sub(mainRun.stageStarts[0])
	writef("\n### The ledger\n\n%d tries. Unsafe run twice: %d. Accepted and not run: %d. Refused and run: %d. In doubt (connection ended, as at the kill): %d, of which run: %d.\n",
		verdict.attempts, verdict.unsafeRanTwice, verdict.acceptedNotRun, verdict.refusedRan, verdict.unknown, verdict.unknownRan)
	writef("\nSettled for %.0f of %.0f s. Settled times with a higher tier shed while a lower passed: %d.\n", verdict.settledTime.Seconds(), duration.Seconds(), verdict.outOfOrder)
	for _, a := range mainRun.isolations {
		if a.to.Before(mainRun.stageStarts[0].Add(settlingTime)) { // before the first level was in force
			continue
		}
		writef("\nGatekeeper %d was on its own (alone or cut off) from %.1f to %.1f s.\n", a.proxy, a.from.Sub(mainRun.stageStarts[0]).Seconds(), a.to.Sub(mainRun.stageStarts[0]).Seconds())
	}
	writef("\n### Changes of the level\n\n| at s | refused | why | offered a second | taken to fit |\n| --- | --- | --- | --- | --- |\n")
	for _, entry := range mainRun.levelLog {
		if entry.program == "bothy" {
			writef("| %.1f | %v | %v | %.0f | %.0f |\n", entry.readAt.Sub(mainRun.stageStarts[0]).Seconds(), entry.fields["refused"], entry.fields["why"], floatField(entry.fields["offered"]), floatField(entry.fields["fits"]))
		}
	}
	return b.String()
}

// loadAverage returns the machine's load averages. They are reported because other work on the machine
// affects every figure.
func loadAverage() string {
	content, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "not known"
	}
	return strings.Join(strings.Fields(string(content))[:3], " ")
}

// floatField returns a numeric log field, or 0 if it is none.
func floatField(v any) float64 { f, _ := v.(float64); return f }

// drawChart returns an SVG chart of the requests offered, served in time and shed per second, by tier.
func drawChart(run *runResult) string {
	const (
		width, rowHeight, left, top, gap = 900, 110, 60, 30, 22
	)
	duration := run.end.Sub(run.stageStarts[0]).Seconds()
	seconds := int(duration) + 1
	type row struct{ offered, served, shed []float64 }
	rows := make([]row, tierCount)
	for t := range rows {
		rows[t] = row{make([]float64, seconds), make([]float64, seconds), make([]float64, seconds)}
	}
	for _, current := range run.requests {
		position := int(current.start.Sub(run.stageStarts[0]).Seconds())
		if position < 0 || position >= seconds {
			continue
		}
		counts := &rows[current.tier]
		counts.offered[position]++
		if current.metTarget {
			counts.served[position]++
		}
		if current.outcome == outcomeShed {
			counts.shed[position]++
		}
	}
	var b strings.Builder
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 %d %d" font-family="sans-serif" font-size="11">`+"\n", width+left+20, top+tierCount*(rowHeight+gap)+30)
	fmt.Fprintf(&b, `<rect width="100%%" height="100%%" fill="white"/><text x="%d" y="16">Requests a second by tier: offered (grey), served in time (green), shed by the level (red)</text>`+"\n", left)
	toX := func(s float64) float64 { return left + s/duration*width }
	for t, current := range rows {
		base := float64(top + (t+1)*(rowHeight+gap) - gap)
		peak := max(slices.Max(current.offered), 1)
		fmt.Fprintf(&b, `<text x="4" y="%.0f">tier %d</text><text x="4" y="%.0f">%.0f/s</text><line x1="%d" y1="%.0f" x2="%d" y2="%.0f" stroke="#999"/>`+"\n",
			base-rowHeight/2, t, base-rowHeight+10, peak, left, base, left+width, base)
		for _, curve := range []struct {
			values []float64
			colour string
		}{{current.offered, "#999999"}, {current.served, "#1a7f37"}, {current.shed, "#cf222e"}} {
			fmt.Fprintf(&b, `<polyline fill="none" stroke="%s" stroke-width="1.5" points="`, curve.colour)
			for i, v := range curve.values[:max(seconds-1, 1)] {
				fmt.Fprintf(&b, "%.1f,%.1f ", toX(float64(i)+0.5), base-v/peak*rowHeight)
			}
			b.WriteString(`"/>` + "\n")
		}
	}
	for i, s := range run.stages {
		position := toX(run.stageStarts[i].Sub(run.stageStarts[0]).Seconds())
		fmt.Fprintf(&b, `<line x1="%.1f" y1="%d" x2="%.1f" y2="%d" stroke="#bbb" stroke-dasharray="3 3"/><text x="%.1f" y="%d" font-size="8">%s</text>`+"\n",
			position, top, position, top+tierCount*(rowHeight+gap), position+2, top+tierCount*(rowHeight+gap)+8+(i%2)*10, s.name)
	}
	for _, entry := range run.levelLog {
		if entry.program == "bothy" {
			position := toX(entry.readAt.Sub(run.stageStarts[0]).Seconds())
			fmt.Fprintf(&b, `<line x1="%.1f" y1="%d" x2="%.1f" y2="%d" stroke="#0969da"/>`+"\n", position, top-8, position, top-2)
		}
	}
	b.WriteString("</svg>\n")
	return b.String()
}
