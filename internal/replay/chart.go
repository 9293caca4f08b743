package replay

import (
	"bytes"
	"cmp"
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"time"
)

// The chart's dimensions, in pixels if not stated otherwise.
const (
	chartWidth, chartHeight = 960, 420
	plotLeft, plotTop       = 70, 70
	plotWidth, plotHeight   = 860, 270
	maxPoints               = 120 // most points of a curve
	chartTicks              = 5   // intervals of each axis
)

// curve is one line of the chart. The dash pattern distinguishes it from the others in
// black and white.
type curve struct {
	name, colour, dash string
	counts             func(recorded, other decision) bool // selects the requests that the line counts
}

var curves = [...]curve{
	{"sent, recorded", "#1b6ca8", "", func(recorded, _ decision) bool { return recorded == sent }},
	{"sent, other", "#1b6ca8", "6 4", func(_, other decision) bool { return other == sent }},
	{"refused, recorded", "#c0392b", "", func(recorded, _ decision) bool { return recorded == refused }},
	{"refused, other", "#c0392b", "6 4", func(_, other decision) bool { return other == refused }},
	{"decided otherwise", "#555555", "2 3", func(recorded, other decision) bool { return recorded != other }},
}

// chartPoint is one point in time of the chart: requests per second, by curve.
type chartPoint [len(curves)]float64

// points combines the comparison's seconds into at most maxPoints points. It returns the
// first second, the number of seconds of each point, and the points.
func (a *Comparison) points() (first, each int64, all []chartPoint) {
	seconds := slices.Sorted(maps.Keys(a.PerSecond))
	if len(seconds) == 0 {
		return 0, 1, nil
	}
	first = seconds[0]
	span := seconds[len(seconds)-1] - first + 1
	each = (span + maxPoints - 1) / maxPoints
	all = make([]chartPoint, (span+each-1)/each)
	for _, at := range seconds {
		s := &all[(at-first)/each]
		for recorded, row := range a.PerSecond[at] {
			for other, n := range row {
				for i, c := range curves {
					if c.counts(decision(recorded), decision(other)) {
						s[i] += float64(n) / float64(each)
					}
				}
			}
		}
	}
	return first, each, all
}

// Chart writes the comparison as a self-contained SVG image. It shows requests per second
// by the time of their arrival, and the time of the first decision that differs.
func (a *Comparison) Chart(to io.Writer) error {
	first, each, all := a.points()
	top := 1.0
	for _, s := range all {
		top = max(top, slices.Max(s[:]))
	}
	top = roundUp(top)
	x := func(i float64) float64 { return plotLeft + plotWidth*i/max(float64(len(all)), 1) }
	y := func(v float64) float64 { return plotTop + plotHeight*(1-v/top) }
	var b bytes.Buffer
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%[1]d" height="%[2]d" viewBox="0 0 %[1]d %[2]d" font-family="sans-serif" font-size="13">
<title>Recorded and other decisions</title>
<rect width="%[1]d" height="%[2]d" fill="white"/>
<text x="%[3]d" y="28" font-size="17">Recorded and other decisions on the same requests, a second</text>
`, chartWidth, chartHeight, plotLeft)
	for i, c := range curves {
		at := plotLeft + 172*i
		fmt.Fprintf(&b, `<line x1="%d" y1="48" x2="%d" y2="48" stroke="%s" stroke-width="2" stroke-dasharray="%s"/><text x="%d" y="52">%s</text>
`, at, at+28, c.colour, cmp.Or(c.dash, "none"), at+34, c.name)
	}
	for i := range chartTicks + 1 {
		v := top * float64(i) / chartTicks
		fmt.Fprintf(&b, `<line x1="%d" y1="%.1f" x2="%d" y2="%.1f" stroke="#dddddd"/><text x="%d" y="%.1f" text-anchor="end">%g</text>
`, plotLeft, y(v), plotLeft+plotWidth, y(v), plotLeft-8, y(v)+4, v)
		position := float64(len(all)) * float64(i) / chartTicks
		at := time.Unix(first+int64(position*float64(each)), 0).UTC()
		fmt.Fprintf(&b, `<text x="%.1f" y="%d" text-anchor="middle">%s</text>
`, x(position), plotTop+plotHeight+22, at.Format("15:04:05"))
	}
	fmt.Fprintf(&b, `<text x="%d" y="%d" text-anchor="middle">%s, UTC; points of %d s</text>
`, plotLeft+plotWidth/2, plotTop+plotHeight+48, time.Unix(first, 0).UTC().Format("2006-01-02"), each)
	if a.First != nil {
		at := min(max(x(float64(a.First.At/1e6-first)/float64(each)), plotLeft), plotLeft+plotWidth)
		fmt.Fprintf(&b, `<line x1="%.1f" y1="%d" x2="%.1f" y2="%d" stroke="black"/><text x="%.1f" y="%d">first difference</text>
`, at, plotTop, at, plotTop+plotHeight, min(at+5, plotLeft+plotWidth-100), plotTop+12)
	}
	for k, c := range curves {
		fmt.Fprintf(&b, `<polyline fill="none" stroke="%s" stroke-width="2" stroke-dasharray="%s" points="`, c.colour, cmp.Or(c.dash, "none"))
		for i, s := range all {
			fmt.Fprintf(&b, "%.1f,%.1f ", x(float64(i)+0.5), y(s[k]))
		}
		b.WriteString("\"/>\n")
	}
	b.WriteString("</svg>\n")
	_, err := to.Write(b.Bytes())
	return err
}

// roundUp rounds up to 1, 2, 5 or 10 times a power of ten.
func roundUp(v float64) float64 {
	base := math.Pow(10, math.Floor(math.Log10(v)))
	for _, n := range []float64{1, 2, 5} {
		if v <= n*base {
			return n * base
		}
	}
	return 10 * base
}
