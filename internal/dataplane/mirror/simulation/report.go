package simulation

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"foxwood/internal/dataplane/mirror"
)

// percent formats a part of a whole.
func percent(n, of int) string {
	if of == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f%%", 100*float64(n)/float64(of))
}

// formatTime formats a time of the week, given in ms from its start.
func formatTime(at float64) string {
	m := int(at / 60 / second)
	return fmt.Sprintf("day %d, %02d:%02d", m/1440, m/60%24, m%60)
}

// markdown returns the tables of the report.
func (s *simulation) markdown(elapsed time.Duration) string {
	var text strings.Builder
	write := func(format string, args ...any) { fmt.Fprintf(&text, format, args...) }
	verdict, totals := &s.ledger.verdict, &s.ledger.totals
	write("Seed %d, %d gatekeepers, a gatekeeper is asked each %g s, journeys end after %d min without a request; played in %.0f s.\n", s.plan.Seed, s.plan.Gatekeepers, s.plan.PollIntervalS, idleTimeoutS/60, elapsed.Seconds())
	write("\n### The ledger\n\n| what | how many |\n| --- | --- |\n")
	for _, row := range []struct {
		what string
		n    int
	}{
		{"requests that live workers ran", verdict.Requests}, {"of routes and tenants of the orders", verdict.Matching}, {"visits of clients", verdict.FlowNames},
		{"copies that went out", verdict.Copies}, {"**unsafe requests run more than once**", verdict.UnsafeRepeated}, {"**copies at live workers**", verdict.CopiesAtLiveWorkers},
		{"**journeys out as whole that lack a piece**", verdict.MissingPieces}, {"**journeys or copies doubled**", verdict.Duplicated + verdict.CopiedTwice}, {"**journeys out in a wrong order**", verdict.OutOfOrder},
		{"**times two gatekeepers chose differently under one order**", verdict.DifferingSelections}, {"**copies with a key in them**", verdict.LeakedCredentials},
		{"journeys out as whole, and whole", verdict.Complete}, {"journeys out in part: a shadow hung, or copying was stopped in between", verdict.Partial},
		{"pieces of which it is not sure which of two came first", int(totals.UncertainOrder)}, {"releases of a gatekeeper that ended before it was empty", s.ledger.abruptExits},
		{"most bytes that one gatekeeper held", s.ledger.maxBytes},
	} {
		write("| %s | %d |\n", row.what, row.n)
	}
	write("\n### By the day on which journeys began\n\n| day | calm | chosen | went out whole | not |\n| --- | --- | --- | --- | --- |\n")
	for dayIndex := range days {
		calm := ""
		if slices.Contains(calmDays, dayIndex) {
			calm = "yes"
		}
		write("| %d | %s | %d | %d | %s |\n", dayIndex, calm, verdict.Selected[dayIndex], verdict.Delivered[dayIndex], percent(verdict.Selected[dayIndex]-verdict.Delivered[dayIndex], verdict.Selected[dayIndex]))
	}
	write("\n### Broken and left out, by cause and the day on which journeys ended\n\nIn parts of a hundred of all that collectors judged that day.\n\n| cause |")
	for dayIndex := range days {
		write(" day %d |", dayIndex)
	}
	write(" week |\n| --- |%s --- |\n", strings.Repeat(" --- |", days))
	judged := [days]int{}
	for dayIndex := range days {
		judged[dayIndex] = s.ledger.completeByDay[dayIndex]
		for _, n := range s.ledger.brokenByDay[dayIndex] {
			judged[dayIndex] += n
		}
	}
	for _, cause := range mirror.Causes() {
		if totals.BrokenByCause[cause] == 0 {
			continue
		}
		write("| %s |", cause)
		for dayIndex := range days {
			write(" %s |", percent(s.ledger.brokenByDay[dayIndex][cause], judged[dayIndex]))
		}
		write(" %d |\n", totals.BrokenByCause[cause])
	}
	write("| judged, whole | %s %d |\n", strings.Join(strings.Fields(strings.Trim(fmt.Sprint(s.ledger.completeByDay), "[]")), " | ")+" |", totals.Complete)
	write("\nCopied for an earlier order only, and begun under a smaller share: %d journeys, kept from the shadows.\n", totals.NotSelected)
	write("Copies: %d taken, %d words on lost pieces; %d out, %d answered, %d not, %d given up behind one that was not.\n", totals.Copied, totals.Lost, totals.CopiesIssued, totals.CopiesAnswered, totals.CopiesFailed, totals.CopiesUnsent)
	write("\n### The week's troubles\n\n| when | what |\n| --- | --- |\n")
	for _, n := range s.incidents {
		write("| %s | %s |\n", formatTime(n.at), n.text)
	}
	return text.String()
}

// chart returns an SVG chart of the selected flows by the hour in which they began, with the numbers
// of complete and other flows.
func (s *simulation) chart() string {
	const wide, high, left, top = 900, 260, 60, 60
	maxPerHour := 1
	for _, h := range s.ledger.flowsByHour {
		maxPerHour = max(maxPerHour, h[0])
	}
	hours := len(s.ledger.flowsByHour)
	x := func(h float64) float64 { return left + h/float64(hours)*wide }
	y := func(v int) float64 { return top + high*(1-float64(v)/float64(maxPerHour)) }
	var svg strings.Builder
	fmt.Fprintf(&svg, `<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 %d %d" font-family="sans-serif" font-size="11">
<title>Journeys in the shadow over a week</title>
<rect width="100%%" height="100%%" fill="white"/>
<text x="%d" y="18" font-size="14">Chosen journeys an hour by their beginning (grey), gone out whole (green), broken or left out (red)</text>
<text x="4" y="%d">%d/h</text><line x1="%d" y1="%d" x2="%d" y2="%d" stroke="#999"/>
`, left+wide+30, top+high+60, left, top+4, maxPerHour, left, top+high, left+wide, top+high)
	for i, colour := range []string{"#999999", "#1a7f37", "#cf222e"} {
		fmt.Fprintf(&svg, `<polyline fill="none" stroke="%s" stroke-width="1.5" points="`, colour)
		for h := range hours {
			fmt.Fprintf(&svg, "%.1f,%.1f ", x(float64(h)+0.5), y(s.ledger.flowsByHour[h][i]))
		}
		svg.WriteString("\"/>\n")
	}
	for dayIndex := range days {
		kind := "troubles"
		if slices.Contains(calmDays, dayIndex) {
			kind = "calm"
		}
		fmt.Fprintf(&svg, `<line x1="%.1f" y1="%d" x2="%.1f" y2="%d" stroke="#ccc" stroke-dasharray="3 3"/><text x="%.1f" y="%d">day %d, %s</text>
`, x(float64(dayIndex*24)), top-10, x(float64(dayIndex*24)), top+high, x(float64(dayIndex*24))+4, top+high+18, dayIndex, kind)
	}
	for i, incident := range s.incidents {
		position := x(incident.at / hour)
		fmt.Fprintf(&svg, `<line x1="%.1f" y1="%d" x2="%.1f" y2="%d" stroke="#0969da"/><text x="%.1f" y="%d" font-size="7">%s</text>
`, position, top-14, position, top-4, position, top-16-8*(i%3), incident.text)
	}
	svg.WriteString("</svg>\n")
	return svg.String()
}
