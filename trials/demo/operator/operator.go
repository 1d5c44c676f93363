package operator

import (
	"context"
	"fmt"
	"os/exec"
	"strings"
	"time"
)

// callTimeout bounds one command.
const callTimeout = 30 * time.Second

// acceptedDangers are those that taking out a zone of a small deployment brings.
const acceptedDangers = "low-capacity,no-upstream"

// Config holds the parts of an Operator.
type Config struct {
	// Program is the path of lagoonctl.
	Program string
	// StoreURL is the address of the store, for the first set.
	StoreURL string
	// AdminURL is the administration address of a daemon.
	AdminURL string
	// Set is the path of the deployment's set.
	Set string
}

// Operator publishes the sets of one deployment.
type Operator struct {
	config Config
}

// New returns the operator of a deployment.
func New(config Config) *Operator { return &Operator{config: config} }

// Publish publishes the first set through the store, as no daemon serves before it.
func (operator *Operator) Publish(ctx context.Context) error {
	return operator.call(ctx, "publish", "-store-url", operator.config.StoreURL, operator.config.Set)
}

// TakeZoneOut takes the availability zone out and returns once that is in force everywhere.
func (operator *Operator) TakeZoneOutOfService(ctx context.Context, zone string) error {
	return operator.call(ctx, "zone", "out", "-admin-url", operator.config.AdminURL, "-accept", acceptedDangers, zone)
}

// ReturnZone takes the availability zone back in and returns once that is in force everywhere.
func (operator *Operator) ReturnZoneToService(ctx context.Context, zone string) error {
	return operator.call(ctx, "zone", "return", "-admin-url", operator.config.AdminURL, zone)
}

func (operator *Operator) call(ctx context.Context, arguments ...string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	output, err := exec.CommandContext(ctx, operator.config.Program, arguments...).CombinedOutput()
	if err != nil {
		return fmt.Errorf("lagoonctl %s: %w: %s", strings.Join(arguments, " "), err, strings.TrimSpace(string(output)))
	}
	return nil
}
