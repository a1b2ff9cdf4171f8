package golden

import (
	"encoding/json"
	"fmt"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"
)

type inner struct {
	Tagged   int `json:"Old"`
	Untagged int
}

type byPosition struct {
	_ struct{} `cbor:",toarray"`
	A int
	B []inner
}

type outer struct {
	Name    string  `cbor:"Name"`
	Small   uint8   `json:"Small"`
	Share   float64 `json:"Share"`
	Inner   *inner  `json:"Inner"`
	List    []inner `json:"List"`
	Pair    [2]bool `json:"Pair"`
	private int
}

func TestUntaggedFields(t *testing.T) {
	if got := UntaggedFields(reflect.TypeOf(&outer{})); !slices.Equal(got, []string{"golden.inner.Untagged"}) {
		t.Errorf("got %q", got)
	}
	if got := UntaggedFields(reflect.TypeOf(byPosition{})); !slices.Equal(got, []string{"golden.inner.Untagged"}) {
		t.Errorf("stored by position: got %q", got)
	}
}

func TestFillSetsEveryField(t *testing.T) {
	v := &outer{}
	Fill(v)
	want := &outer{Name: "text 1", Small: 3, Share: 3.5, Inner: &inner{4, 5}, List: []inner{{6, 7}, {8, 9}}, Pair: [2]bool{true, true}}
	if !reflect.DeepEqual(v, want) {
		t.Errorf("got %+v, want %+v", v, want)
	}
	if v.private != 0 {
		t.Error("an unexported field was set")
	}
}

// failureRecorder is a testing.TB that records the failures reported by a check.
type failureRecorder struct {
	testing.TB
	lines []string
}

func (*failureRecorder) Helper() {}

func (f *failureRecorder) Errorf(format string, args ...any) {
	f.lines = append(f.lines, fmt.Sprintf(format, args...))
}

// A changed stored name of a field is detected both when the value is encoded and when it is decoded.
func TestCheckTypeFindsARenamedField(t *testing.T) {
	type before struct {
		Value int `json:"Old"`
	}
	type after struct {
		Value int `json:"New"`
	}
	type untagged struct{ Old int }
	t.Setenv(writeEnvVar, "")
	t.Chdir(t.TempDir())
	if err := os.Mkdir("testdata", 0o755); err != nil {
		t.Fatal(err)
	}
	stored, err := json.Marshal(before{1})
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile("testdata/form", stored, 0o644); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		value any
		want  []string
	}{
		{&before{}, nil},
		{&after{}, []string{"other bytes", "read as"}},
		{&untagged{}, []string{"under the name of a field"}},
	} {
		recorder := &failureRecorder{TB: t}
		CheckType(recorder, "form", c.value, json.Marshal, json.Unmarshal)
		if len(recorder.lines) != len(c.want) {
			t.Errorf("%T: reported %q", c.value, recorder.lines)
			continue
		}
		for i, want := range c.want {
			if !strings.Contains(recorder.lines[i], want) {
				t.Errorf("%T: reported %q, want %q", c.value, recorder.lines[i], want)
			}
		}
	}
}

// A field that was added to a stored form later stays zero, so that the older golden file still checks the form without it.
func TestFillLeavesJoinedFields(t *testing.T) {
	v := &struct {
		Old    int
		Joined *int `golden:"joined"`
		Last   int
	}{}
	if Fill(v); v.Old != 1 || v.Joined != nil || v.Last != 2 {
		t.Errorf("got %+v", v)
	}
}
