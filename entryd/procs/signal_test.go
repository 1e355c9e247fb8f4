package procs_test

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovagefork.example/platform"
)

// SIGHUP that arrives before the process has read its settings must not end it.
func TestHangupDuringStart(t *testing.T) {
	t.Parallel()
	settings := filepath.Join(t.TempDir(), "settings")
	assert.NilError(t, syscall.Mkfifo(settings, 0o600))
	cmd := exec.Command(filepath.Join(binDir, "entryd"), "hosted")
	cmd.Env = []string{platform.SettingsVariable + "=" + settings}
	assert.NilError(t, cmd.Start())
	// Opening blocks until the process opens the file to read its settings.
	file, err := os.OpenFile(settings, os.O_WRONLY, 0)
	assert.NilError(t, err)
	for range 3 {
		assert.NilError(t, cmd.Process.Signal(syscall.SIGHUP))
		time.Sleep(20 * time.Millisecond)
	}
	_, err = file.WriteString("ip=127.0.0.1\n")
	assert.NilError(t, err)
	assert.NilError(t, file.Close())
	// The settings are incomplete, which ends the process with its own exit code.
	var exit *exec.ExitError
	assert.Assert(t, errors.As(cmd.Wait(), &exit))
	assert.Equal(t, exit.ExitCode(), 2, "%v", exit)
}
