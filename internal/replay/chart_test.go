package replay

import (
	"bytes"
	"encoding/xml"
	"errors"
	"io"
	"math"
	"strings"
	"testing"
)

// checkChart checks that a chart is well-formed XML, draws every curve and marks the first
// difference, and that its points add up to the counts of the table.
func checkChart(t *testing.T, a *Comparison) {
	t.Helper()
	var b bytes.Buffer
	if err := a.Chart(&b); err != nil {
		t.Fatal(err)
	}
	drawn, text := 0, ""
	for d := xml.NewDecoder(&b); ; {
		token, err := d.Token()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		switch e := token.(type) {
		case xml.StartElement:
			for _, at := range e.Attr {
				if e.Name.Local == "polyline" && at.Name.Local == "points" && strings.Count(at.Value, ",") > 0 {
					drawn++
				}
			}
		case xml.CharData:
			text += string(e)
		}
	}
	if drawn != len(curves) || !strings.Contains(text, "first difference") {
		t.Errorf("%d curves drawn, want %d; texts %q", drawn, len(curves), text)
	}
	_, each, all := a.points()
	var sum, want float64
	for _, s := range all {
		sum += s[len(curves)-1] * float64(each)
	}
	for _, c := range a.Counts {
		for recorded, row := range c {
			for other, n := range row {
				if recorded != other {
					want += float64(n)
				}
			}
		}
	}
	if math.Abs(sum-want) > 1e-6 || want == 0 {
		t.Errorf("%.1f requests decided otherwise in the chart, %.0f in the table; want the same and more than 0", sum, want)
	}
}

func TestLongComparisonHasLimitedPoints(t *testing.T) {
	a := &Comparison{PerSecond: map[int64][4][4]int{}}
	for at := range int64(7200) {
		a.PerSecond[1000+at] = [4][4]int{sent: {sent: 3}}
	}
	first, each, all := a.points()
	if first != 1000 || each != 60 || len(all) != maxPoints || math.Abs(all[7][0]-3) > 1e-9 || all[7][len(curves)-1] != 0 {
		t.Errorf("%d points of %d s from %d on, the eighth %+v; want %d points of 60 s from 1000 on, of 3 requests per second",
			len(all), each, first, all[7], maxPoints)
	}
}
