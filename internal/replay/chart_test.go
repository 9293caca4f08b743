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

// chartHolds checks that a chart is well-formed, draws every curve within its frame, and
// that its points add up to what the table counts.
func chartHolds(t *testing.T, a *Against) {
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
		t.Errorf("%d curves of %d, texts %q", drawn, len(curves), text)
	}
	_, each, all := a.steps()
	var sum, want float64
	for _, s := range all {
		sum += s[len(curves)-1] * float64(each)
	}
	for _, c := range a.Counts {
		for was, row := range c {
			for is, n := range row {
				if was != is {
					want += float64(n)
				}
			}
		}
	}
	if math.Abs(sum-want) > 1e-6 || want == 0 {
		t.Errorf("the chart shows %.1f decided otherwise, the table %.0f", sum, want)
	}
}

func TestLongComparisonsKeepToAFewPoints(t *testing.T) {
	a := &Against{Times: map[int64][4][4]int{}}
	for at := range int64(7200) {
		a.Times[1000+at] = [4][4]int{sent: {sent: 3}}
	}
	first, each, all := a.steps()
	if first != 1000 || each != 60 || len(all) != chartSteps || math.Abs(all[7][0]-3) > 1e-9 || all[7][len(curves)-1] != 0 {
		t.Errorf("%d points of %d s from %d, %+v", len(all), each, first, all[7])
	}
}
