package startup

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"petrelhook/internal/rig/bubble"
)

var errInUse = &net.OpError{Op: "listen", Err: os.NewSyscallError("bind", syscall.EADDRINUSE)}

func TestRetryWaitsForAConditionToPass(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		began, attempts := time.Now(), 0
		var reports []string
		open := func() error {
			attempts++
			switch {
			case time.Since(began) < 25*time.Second:
				return fmt.Errorf("clients: %w", errInUse)
			case time.Since(began) < 30*time.Second:
				return fmt.Errorf("operators: %w", errInUse)
			}
			return nil
		}
		err := Retry(t.Context(), IsSystemError, func(err error) { reports = append(reports, err.Error()[:8]) }, open)
		if err != nil || time.Since(began) > 30*time.Second+maxDelay {
			t.Errorf("%v after %v", err, time.Since(began))
		}
		if attempts < 30 || attempts > 50 {
			t.Errorf("%d attempts", attempts)
		}
		if want := "[clients: clients: clients: operator]"; fmt.Sprint(reports) != want {
			t.Errorf("reported %v, want %v", reports, want)
		}
	})
}

func TestRetryReturnsAFinalErrorAtOnce(t *testing.T) {
	errDamaged := errors.New("damaged")
	attempts := 0
	err := Retry(t.Context(), IsSystemError, func(error) { t.Error("reported") }, func() error { attempts++; return errDamaged })
	if !errors.Is(err, errDamaged) || attempts != 1 {
		t.Errorf("%v after %d attempts", err, attempts)
	}
}

func TestRetryEndsWithItsContext(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		began := time.Now()
		err := Retry(ctx, IsSystemError, func(error) {}, func() error { return errInUse })
		if !errors.Is(err, context.DeadlineExceeded) || time.Since(began) != time.Minute {
			t.Errorf("%v after %v", err, time.Since(began))
		}
	})
}

func TestRetryReportsAnAttemptThatHangs(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		reports := 0
		report := func(err error) {
			if !errors.Is(err, errSlow) {
				t.Error(err)
			}
			reports++
		}
		err := Retry(t.Context(), IsSystemError, report, func() error { time.Sleep(25 * time.Second); return nil })
		if err != nil || reports != 2 {
			t.Errorf("%v, %d reports", err, reports)
		}
	})
}

func TestRetryEndsWithItsContextWhileAnAttemptHangs(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		began, answer := time.Now(), make(chan error)
		err := Retry(ctx, IsSystemError, func(error) {}, func() error { return <-answer })
		if !errors.Is(err, context.DeadlineExceeded) || time.Since(began) != time.Minute {
			t.Errorf("%v after %v", err, time.Since(began))
		}
		close(answer)
	})
}
