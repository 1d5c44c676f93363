package main

import (
	"os"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/adapters/loader"
)

// componentField is the log field with the component that writes the line.
const componentField = "part"

func newLog(settings loader.Settings) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(os.Stderr)
	log.SetLevel(settings.LogLevel())
	if settings.LogFormat() == loader.LogJSON {
		log.SetFormatter(&logrus.JSONFormatter{})
	} else {
		log.SetFormatter(&logrus.TextFormatter{FullTimestamp: true, DisableColors: true})
	}
	return log
}

// repeatInterval is the interval at which a persistent failure is logged again.
const repeatInterval = 10 * time.Second

// failureLog suppresses repetitions of the same failure, so that an outage does not flood the log.
type failureLog struct {
	log         *logrus.Entry
	mutex       sync.Mutex
	lastMessage string
	nextLog     time.Time
}

func (failurelog *failureLog) record(err error) {
	failurelog.mutex.Lock()
	defer failurelog.mutex.Unlock()
	now := time.Now()
	if err.Error() == failurelog.lastMessage && now.Before(failurelog.nextLog) {
		return
	}
	failurelog.lastMessage, failurelog.nextLog = err.Error(), now.Add(repeatInterval)
	failurelog.log.WithError(err).Warn("Operation failed; retrying.")
}

// logWrittenLayout returns a function that logs layouts written by this daemon as the coordinator of a group.
func logWrittenLayout(log *logrus.Entry) func(lagoonlanding.Record) {
	return func(record lagoonlanding.Record) {
		layout := record.Current()
		log.WithFields(logrus.Fields{
			"group": record.Group().String(), "version": layout.Version(),
			"members": memberNames(layout), "witnesses": instanceNames(layout.Witnesses()),
		}).Info("Layout written.")
	}
}

func memberNames(layout lagoonlanding.Layout) string {
	var names []string
	for _, member := range layout.Members() {
		name := member.ID().Name()
		if member.State() != lagoonlanding.MemberActive {
			name += " (not active)"
		}
		names = append(names, name)
	}
	return strings.Join(names, ", ")
}

func instanceNames(instances []lagoonlanding.Instance) string {
	var names []string
	for _, instance := range instances {
		names = append(names, instance.ID().Name())
	}
	return strings.Join(names, ", ")
}
