package returns

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"waxwingplank/internal/standin/script"
)

// Guards against callers that are told to return too early, all at once, or later than they honour.
func TestPlans(t *testing.T) {
	cases, err := script.ReadCases("testdata/plans.txtar")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range cases {
		t.Run(c.Name(), func(t *testing.T) {
			s, now, opening, names := New(Config{Seed: 1}), time.Unix(1000, 0), Opening{}, 0
			refuse := func(line, name string, numbers []int, flags []string) {
				ms := func(i int) time.Duration { return time.Duration(numbers[i]) * time.Millisecond }
				at := Opening{At: now.Add(time.Duration(opening.At.UnixMilli()) * time.Millisecond), Rate: opening.Rate, Source: opening.Source}
				p := s.Refuse(now, Refusal{
					Caller: callerOf(name), Priority: numbers[0], Opening: at, Minimum: 700 * time.Millisecond, Deadline: now.Add(ms(1)), AnswerTime: 2 * time.Second,
				})
				if p.After() < ms(2) || p.After() > ms(3) || p.Again() != slices.Contains(flags, "again") || p.InTime() == slices.Contains(flags, "late") || p.Source() != opening.Source {
					t.Errorf("%s: got %+v", strings.TrimSpace(line), p)
				}
			}
			for line := range strings.Lines(c.Part("script")) {
				is := is.New(t)
				words := strings.Fields(line)
				var numbers []int
				for _, w := range words[1:] {
					if n, err := strconv.Atoi(w); err == nil {
						numbers = append(numbers, n)
					}
				}
				switch words[0] {
				case "opening":
					opening = Opening{At: time.UnixMilli(int64(numbers[0])), Rate: float64(numbers[1]), Source: Source(words[3])}
				case "refuse":
					refuse(line, words[1], numbers, words[6:])
				case "burst":
					for range numbers[0] {
						names++
						refuse(line, fmt.Sprint(names), []int{numbers[1], 20000, numbers[2], numbers[3]}, nil)
					}
				case "come":
					s.Arrive(now, callerOf(words[1]))
				case "leave":
					s.Leave(callerOf(words[1]))
				case "due":
					is.Equal(s.Due(now), numbers[0])
				case "wait":
					now = now.Add(time.Duration(numbers[0]) * time.Millisecond)
				default:
					t.Fatalf("unknown command %q", words[0])
				}
			}
		})
	}
}

func callerOf(name string) (c Caller) {
	copy(c[:], name)
	return c
}
