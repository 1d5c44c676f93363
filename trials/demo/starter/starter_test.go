package starter

import (
	"os"
	"path/filepath"
	"testing"
)

func TestStopAllStopsFrozenAndExitedProcesses(t *testing.T) {
	directory := t.TempDir()
	script := "#!/bin/sh\ntrap 'exit 0' TERM\nwhile :; do sleep 0.01; done\n"
	if err := os.WriteFile(filepath.Join(directory, "loop"), []byte(script), 0o700); err != nil {
		t.Fatal(err)
	}
	starter := New(Config{Binaries: directory, Logs: directory})
	var processes []*Process
	for _, name := range []string{"running", "frozen", "dead"} {
		process, err := starter.Start(name, "loop")
		if err != nil {
			t.Fatal(err)
		}
		processes = append(processes, process)
	}
	processes[1].Freeze()
	processes[2].Kill()
	starter.StopAll()
	for _, process := range processes {
		if !process.HasExited() {
			t.Errorf("%s is still running", process.Name())
		}
	}
	if _, err := starter.Start("none", "absent"); err == nil {
		t.Error("a missing program was started")
	}
}
