package fleet

import (
	"time"

	"github.com/pkg/errors"
)

const (
	// MaxPace is the largest pace, 1/MaxPace the smallest.
	MaxPace = 4.0
	// MaxPaceSample bounds the absolute value of the logarithm that one answer contributes: the
	// logarithm of MaxPace.
	MaxPaceSample = 1.3863
	// maxPaceAnswers bounds the answers of one target in one report.
	maxPaceAnswers = 100_000
)

// PaceSamples has what a router measured of a target since its last report.
type PaceSamples struct {
	Target      TargetID    `json:"T"`
	Incarnation Incarnation `json:"I"`
	Answers     int         `json:"N"`
	// LogSum is the sum, over the answers, of the logarithm of the measured time to the first byte
	// over the time by the rated capacity and the slowness of the service in LoadDigest, each
	// bounded by MaxPaceSample.
	LogSum float64 `json:"L"`
}

// Check implements Checker.
func (s *PaceSamples) Check() error {
	if s.Answers < 1 || s.Answers > maxPaceAnswers {
		return errors.Errorf("the pace of target %q is of %d answers; there must be 1 to %d", s.Target, s.Answers, maxPaceAnswers)
	}
	// The margin is for rounding.
	if limit := float64(s.Answers)*MaxPaceSample + 0.01; !(s.LogSum >= -limit && s.LogSum <= limit) {
		return errors.Errorf("the sum of logarithms of target %q is %g; its absolute value must not exceed %g", s.Target, s.LogSum, limit)
	}
	return CheckName("T", string(s.Target))
}

// TargetPace is the pace of a target as all routers measured it.
type TargetPace struct {
	Target      TargetID    `json:"T"`
	Incarnation Incarnation `json:"I"`
	// Pace is the time that the target takes, as a multiple of that by the rated capacity and the
	// slowness of its service: above 1 it is slow.
	Pace float64 `json:"P"`
	// Age is the time since the newest answer that Pace is based on.
	Age time.Duration `json:"A,omitempty"`
}

// Check implements Checker.
func (p *TargetPace) Check() error {
	if !(p.Pace >= 1/MaxPace && p.Pace <= MaxPace) {
		return errors.Errorf("the pace of target %q is %g; it must be from %g to %g", p.Target, p.Pace, 1/MaxPace, MaxPace)
	}
	if p.Age < 0 {
		return errors.Errorf("the pace of target %q has age %s; it must not be negative", p.Target, p.Age)
	}
	return CheckName("T", string(p.Target))
}

// checkEach returns the first error of a list, or nil.
func checkEach[T any, P interface {
	*T
	Checker
}](name string, list []T) error {
	for i := range list {
		if err := P(&list[i]).Check(); err != nil {
			return errors.Wrapf(err, "%s[%d]", name, i)
		}
	}
	return nil
}
