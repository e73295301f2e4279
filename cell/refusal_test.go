package cell

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"teaselgate/rule"
)

// A refusal's error goes into the log, from which an operator must see what decided it.
func TestRefusalsStateTheFiguresThatDecidedThem(t *testing.T) {
	now := clockStart
	c := testCore(now, 1, 1)
	c.holdingsKnown = true
	submit := func(key string, class rule.Class, charge int64) error {
		c.Submit(now, PlaceRequest{
			Key: key, Account: "a", Weight: 1, Class: class, PromptTokens: 3000, MaxTokens: 200, Left: 14 * time.Second,
			Charge: charge, Rate: 1000, Burst: 5000,
		})
		for _, d := range c.Decide(now) {
			if d.Key == key && d.Err != nil {
				return d.Err
			}
		}
		return nil
	}
	if err := submit("within", rule.ClassPatient, 500); err != nil {
		t.Fatal(err)
	}
	err := submit("beyond", rule.ClassPatient, 4000)
	for _, figure := range []string{"charge 4000", "level ", "of 5000", "1000/s", "counted for"} {
		if !errors.Is(err, ErrOverRate) || !strings.Contains(err.Error(), figure) {
			t.Errorf("%q is missing in the refusal over the rate: %v", figure, err)
		}
	}
	for n := range 400 {
		now = now.Add(10 * time.Millisecond)
		if err = submit(fmt.Sprint(n), rule.ClassInteractive, 0); errors.Is(err, ErrShed) && strings.Contains(err.Error(), "too long") {
			break
		}
	}
	for _, figure := range []string{"the wait of ", "cost ", "/s are placed", " left"} {
		if !errors.Is(err, ErrShed) || !strings.Contains(err.Error(), figure) {
			t.Errorf("%q is missing in the refusal for lack of room: %v", figure, err)
		}
	}
}
