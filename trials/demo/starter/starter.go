package starter

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// stopTimeout is how long a process may take for its graceful shutdown.
const stopTimeout = 12 * time.Second

// Process is one started process.
type Process struct {
	name    string
	command *exec.Cmd
	exited  chan struct{}
}

// Name returns the name under which the process was started.
func (process *Process) Name() string { return process.name }

// PID returns the process id.
func (process *Process) PID() int { return process.command.Process.Pid }

// HasExited reports whether the process has ended.
func (process *Process) HasExited() bool {
	select {
	case <-process.exited:
		return true
	default:
		return false
	}
}

// Kill ends the process without notice and waits for its end.
func (process *Process) Kill() {
	process.signal(syscall.SIGKILL)
	<-process.exited
}

// Freeze stops the process from running.
func (process *Process) Freeze() { process.signal(syscall.SIGSTOP) }

// Thaw lets a frozen process run on.
func (process *Process) Thaw() { process.signal(syscall.SIGCONT) }

// Stop asks the process to end gracefully and kills it if it does not; it reports whether it ended by itself.
func (process *Process) Stop() bool {
	process.Thaw()
	process.signal(syscall.SIGTERM)
	select {
	case <-process.exited:
		return true
	case <-time.After(stopTimeout):
		process.Kill()
		return false
	}
}

// signal reaches only a process that has not been waited for, so its id can't belong to another one.
func (process *Process) signal(signal syscall.Signal) {
	if !process.HasExited() {
		_ = process.command.Process.Signal(signal)
	}
}

// Config holds the parts of a Starter.
type Config struct {
	// Binaries is the folder of the programs.
	Binaries string
	// Logs is the folder that gets the output of each process.
	Logs string
}

// Starter keeps the processes that it has started.
type Starter struct {
	config    Config
	mutex     sync.Mutex
	processes []*Process
}

// New returns a starter of the programs in the folder.
func New(config Config) *Starter { return &Starter{config: config} }

// Start starts a program under a name.
func (starter *Starter) Start(name, program string, args ...string) (*Process, error) {
	log, err := os.OpenFile(filepath.Join(starter.config.Logs, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("open the log of %s: %w", name, err)
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(filepath.Join(starter.config.Binaries, program), args...)
	command.Stdout, command.Stderr = log, log
	// An interrupt of the terminal reaches only this program, which then stops the others in order.
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := command.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	process := &Process{name: name, command: command, exited: make(chan struct{})}
	go func() {
		_ = command.Wait()
		close(process.exited)
	}()
	starter.mutex.Lock()
	defer starter.mutex.Unlock()
	starter.processes = append(starter.processes, process)
	return process, nil
}

// StopAll ends all processes that still run, and reports those that had to be killed.
func (starter *Starter) StopAll() []string {
	starter.mutex.Lock()
	processes := starter.processes
	starter.processes = nil
	starter.mutex.Unlock()
	var mutex sync.Mutex
	var killed []string
	var stops sync.WaitGroup
	for _, process := range processes {
		stops.Go(func() {
			if process.HasExited() || process.Stop() {
				return
			}
			mutex.Lock()
			defer mutex.Unlock()
			killed = append(killed, process.name)
		})
	}
	stops.Wait()
	return killed
}
