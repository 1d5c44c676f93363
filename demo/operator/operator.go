package operator

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// callTimeout bounds one command.
const callTimeout = 20 * time.Second

// acceptedDangers are those that taking out a zone of a small deployment brings.
const acceptedDangers = "low-capacity,no-upstream,zone-returned"

// Config holds the parts of an Operator.
type Config struct {
	// Program is the path of lagoonctl.
	Program string
	// StoreURL is the address of the store.
	StoreURL string
	// Set is the path of the deployment's set.
	Set string
	// Work is the folder for changed sets.
	Work string
}

// Operator publishes the sets of one deployment; each publish takes the version that it got before as its base.
type Operator struct {
	config  Config
	version int
}

// New returns the operator of a deployment for which nothing is published yet.
func New(config Config) *Operator { return &Operator{config: config} }

// Publish publishes the deployment's set with the zone taken out, or with all zones in if the name is empty.
func (operator *Operator) Publish(ctx context.Context, zoneOut string) error {
	path, err := operator.write(zoneOut)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	command := exec.CommandContext(ctx, operator.config.Program, "publish", "-store-url", operator.config.StoreURL,
		"-base", strconv.Itoa(operator.version), "-accept", acceptedDangers, path)
	output, err := command.CombinedOutput()
	if err != nil {
		return fmt.Errorf("publish %s: %w: %s", path, err, strings.TrimSpace(string(output)))
	}
	operator.version++
	return nil
}

func (operator *Operator) write(zoneOut string) (string, error) {
	if zoneOut == "" {
		return operator.config.Set, nil
	}
	text, err := os.ReadFile(operator.config.Set)
	if err != nil {
		return "", fmt.Errorf("read the set: %w", err)
	}
	table := "[availability-zone." + zoneOut + "]\n"
	changed := strings.Replace(string(text), table, table+"out = true\n", 1)
	path := filepath.Join(operator.config.Work, zoneOut+"-out.toml")
	if err := os.WriteFile(path, []byte(changed), 0o600); err != nil {
		return "", fmt.Errorf("write the changed set: %w", err)
	}
	return path, nil
}
