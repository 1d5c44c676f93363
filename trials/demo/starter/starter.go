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

// stopTimeout is the timeout of a graceful shutdown, after which the process is killed.
const stopTimeout = 12 * time.Second

// Process is a process started by a Starter.
type Process struct {
	name    string
	command *exec.Cmd
	exited  chan struct{}
}

// Name returns the name under which the process was started.
func (process *Process) Name() string { return process.name }

// PID returns the process ID.
func (process *Process) PID() int { return process.command.Process.Pid }

// HasExited reports whether the process has exited.
func (process *Process) HasExited() bool {
	select {
	case <-process.exited:
		return true
	default:
		return false
	}
}

// Kill sends SIGKILL to the process and waits for its exit.
func (process *Process) Kill() {
	process.signal(syscall.SIGKILL)
	<-process.exited
}

// Freeze suspends the process with SIGSTOP.
func (process *Process) Freeze() { process.signal(syscall.SIGSTOP) }

// Thaw resumes a frozen process with SIGCONT.
func (process *Process) Thaw() { process.signal(syscall.SIGCONT) }

// Stop sends SIGTERM to the process, kills it after a timeout, and reports whether it exited before the timeout.
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

// signal sends a signal unless the process has exited, when its ID could belong to another process.
func (process *Process) signal(signal syscall.Signal) {
	if !process.HasExited() {
		_ = process.command.Process.Signal(signal)
	}
}

// Config holds the configuration of a Starter.
type Config struct {
	// Binaries is the directory of the programs.
	Binaries string
	// Logs is the directory to which the output of each process is written.
	Logs string
}

// Starter starts processes and keeps track of them.
type Starter struct {
	config    Config
	mutex     sync.Mutex
	processes []*Process
}

// New returns a starter with the given configuration.
func New(config Config) *Starter { return &Starter{config: config} }

// Start starts a program and gives the process a name, which is also the name of its log file.
func (starter *Starter) Start(name, program string, args ...string) (*Process, error) {
	log, err := os.OpenFile(filepath.Join(starter.config.Logs, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("open the log of %s: %w", name, err)
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(filepath.Join(starter.config.Binaries, program), args...)
	command.Stdout, command.Stderr = log, log
	// In its own process group, the process does not receive an interrupt from the terminal; this program stops it instead.
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

// StopAll stops all running processes and returns the names of those that had to be killed.
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
