package announcer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

const (
	retryInterval  = 200 * time.Millisecond
	repeatInterval = 2 * time.Second
	callTimeout    = time.Second
)

type announcementJSON struct {
	Service string `json:"service"`
	Address string `json:"address"`
	Slots   int    `json:"slots"`
}

// Config holds the configuration of an Announcer.
type Config struct {
	// Daemon is the host and port at which the daemon accepts announcements.
	Daemon string
	// Service is the name of the service.
	Service string
	// Address is the host and port of the backend server.
	Address string
	// Slots is the maximum number of requests that run at once.
	Slots int
}

// Announcer periodically announces a backend server to its daemon.
type Announcer struct {
	config Config
}

// New returns an announcer with the given configuration.
func New(config Config) *Announcer { return &Announcer{config: config} }

// Run sends announcements periodically until ctx is done, so that a restarted daemon discovers the backend server.
func (announcer *Announcer) Run(ctx context.Context) {
	for {
		interval := repeatInterval
		if announcer.Announce(ctx) != nil {
			interval = retryInterval
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval):
		}
	}
}

// Announce sends one announcement.
func (announcer *Announcer) Announce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	body, err := json.Marshal(announcementJSON{Service: announcer.config.Service, Address: announcer.config.Address, Slots: announcer.config.Slots})
	if err != nil {
		return fmt.Errorf("encode the announcement: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+announcer.config.Daemon+"/upstream", bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("create the request: %w", err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("announce to %s: %w", announcer.config.Daemon, err)
	}
	_ = response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("announce to %s: status %d", announcer.config.Daemon, response.StatusCode)
	}
	return nil
}
