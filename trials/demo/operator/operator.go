package operator

import (
	"context"
	"fmt"
	"os/exec"
	"strings"
	"time"
)

// callTimeout is the timeout of one command.
const callTimeout = 30 * time.Second

// acceptedDangers are the dangers reported when a zone of a small deployment is taken out of service.
const acceptedDangers = "low-capacity,no-upstream"

// Config holds the configuration of an Operator.
type Config struct {
	// Program is the path of lagoonctl.
	Program string
	// StoreURL is the URL of the store, to which the first set is published.
	StoreURL string
	// AdminURL is the URL of the administration interface of a daemon.
	AdminURL string
	// Set is the path of the deployment's set.
	Set string
}

// Operator runs the operator commands on one deployment.
type Operator struct {
	config Config
}

// New returns an operator with the given configuration.
func New(config Config) *Operator { return &Operator{config: config} }

// Publish publishes the first set to the store directly, because daemons do not serve before they have a set.
func (operator *Operator) Publish(ctx context.Context) error {
	return operator.call(ctx, "publish", "-store-url", operator.config.StoreURL, operator.config.Set)
}

// TakeZoneOutOfService takes the availability zone out of service and returns once the change is in force everywhere.
func (operator *Operator) TakeZoneOutOfService(ctx context.Context, zone string) error {
	return operator.call(ctx, "zone", "out", "-admin-url", operator.config.AdminURL, "-accept", acceptedDangers, zone)
}

// ReturnZoneToService puts the availability zone back in service and returns once the change is in force everywhere.
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
