package settings

import (
	"testing"
	"time"

	"github.com/spf13/cobra"
	"github.com/stretchr/testify/require"
)

// Guards against a lease TTL that passes the validation of the settings although the lease manager
// rejects it when the entry starts.
func TestLeaseTTLMustExceedTheSafetyMargin(t *testing.T) {
	cmd := &cobra.Command{}
	AddEntryFlags(cmd.Flags())
	require.NoError(t, cmd.Flags().Parse([]string{"--instance", "e", "--data-centre", "d", "--key", "k"}))
	s, err := ReadEntry(cmd)
	require.NoError(t, err)
	s.LeaseTTL = 3 * time.Second
	require.ErrorContains(t, s.Validate(), "lease-ttl: found 3s")
	s.LeaseTTL = 3*time.Second + time.Millisecond
	require.NoError(t, s.Validate())
}
