package bootconfig

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// validFile is a valid settings file with unknown fields.
const validFile = `
station = "sorting-a-1"
role = "bothy"
grade = "sorting"
carries = ["control","directory"]
ip = "10.1.0.25"
zone = "a"
region = "r"
innerDocks = [7460,7475]
firstStations = ["10.1.0.25:8383","10.3.0.36:8383"]
firstRun = true
counted = true
archiveDir = "/data/x"
timeBounds = ["drainS=2.5","revocationFinal=true","revokeS=4","somethingNew=12","ttl_max_s=5"]
unheardOf = 7
[zones]
a = "r"
b = "s"
[gates]
controlDesk = "10.1.0.25:8383"
[sizeLimits]
cpuShare = 0.96
memoryMb = 280
handles = 4096
[carrierApi]
address = "10.200.0.136:8382"
ratePerS = 52.0
`

func TestParse(t *testing.T) {
	settings, err := Parse([]byte(validFile))
	assert.NilError(t, err)
	assert.Equal(t, settings.Bounds.DrainS, 2.5)
	assert.Equal(t, settings.Bounds.RevokeS, 4.0)
	assert.Equal(t, settings.Bounds.RevocationFinal, true)
	assert.Equal(t, settings.Bounds.RetryRatio, defaultBounds.RetryRatio, "a bound that the file does not set")
	assert.Equal(t, settings.InnerAddress(1), "10.1.0.25:7461")
	assert.DeepEqual(t, settings.SeedAddresses(0), []string{"10.1.0.25:7460", "10.3.0.36:7460"})
	assert.Equal(t, settings.RegionOf("b"), "s")
	assert.Equal(t, settings.RegionOf("c"), "c")
}

func TestErrorsNameInvalidFields(t *testing.T) {
	for _, test := range []struct{ from, to, field string }{
		{`ip = "10.1.0.25"`, `ip = "here"`, "ip"},
		{`innerDocks = [7460,7475]`, `innerDocks = [7460]`, "innerDocks"},
		{`innerDocks = [7460,7475]`, `innerDocks = [7460,7460]`, "innerDocks"},
		{`"10.3.0.36:8383"`, `"10.3.0.36"`, "firstStations[1]"},
		{`firstStations = ["10.1.0.25:8383","10.3.0.36:8383"]`, `firstStations = []`, "firstStations"},
		{`"drainS=2.5"`, `"drainS=soon"`, "timeBounds[0]"},
		{`"drainS=2.5"`, `"drainS=-1"`, "timeBounds[0]"},
		{`"revocationFinal=true"`, `"revocationFinal=2"`, "timeBounds[1]"},
		{`station = "sorting-a-1"`, ``, "station"},
		{`zone = "a"`, ``, "zone"},
	} {
		_, err := Parse([]byte(strings.Replace(validFile, test.from, test.to, 1)))
		assert.ErrorContains(t, err, test.field+": ", "%s", test.to)
	}
}
