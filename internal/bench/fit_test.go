package bench

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against fits that swap the coefficients of entries and sidecars, and against fits of
// sizes that do not determine them.
func TestFits(t *testing.T) {
	var samples []Sample
	for _, s := range []Size{{2, 4}, {2, 16}, {8, 16}, {8, 64}} {
		samples = append(samples, Sample{Size: s, Metric: "m", Mean: 5 + 2*float64(s.Entries) + 3*float64(s.Sidecars)})
	}
	fits := Fits(samples)
	require.Len(t, fits, 1)
	assert.InDelta(t, 5, fits[0].Constant, 1e-9)
	assert.InDelta(t, 2, fits[0].PerEntry, 1e-9)
	assert.InDelta(t, 3, fits[0].PerSidecar, 1e-9)
	assert.InDelta(t, 5+680+1920, fits[0].At(TargetSize), 1e-6)
	assert.Empty(t, Fits(samples[:2]))
}

// Guards against sums that miss a series of a metric, and against lost counts per operation.
func TestParseMetrics(t *testing.T) {
	v, err := parseMetrics(strings.NewReader(`# HELP quetzallug_kv_calls_total Calls.
quetzallug_kv_calls_total{operation="get",scope="a b"} 3
quetzallug_kv_calls_total{operation="list"} 4
process_cpu_seconds_total 1.5e-1
`))
	require.NoError(t, err)
	assert.Equal(t, metricValues{metricKVCalls: 7, metricKVCalls + "/get": 3, metricKVCalls + "/list": 4, metricCPU: 0.15}, v)
}

// Guards against counting an answer without its end marker as complete.
func TestReadToMark(t *testing.T) {
	require.NoError(t, readAllAndCheckMark(strings.NewReader(strings.Repeat("x", 10_000)+"[DONE]\n"), []byte("[DONE]")))
	require.ErrorIs(t, readAllAndCheckMark(strings.NewReader("data: x\n"), []byte("[DONE]")), errTruncated)
}
