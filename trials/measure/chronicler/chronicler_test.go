package chronicler

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func writeFile(t *testing.T, folder, name, text string) {
	t.Helper()
	if err := os.WriteFile(filepath.Join(folder, name), []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

const daysJSON = `{"name":"quiet-1","G":0.73,"rules":{}},{"name":"scale-1","G":0.25,"rules":{}}`

func TestScoresOfASiteAreShownInOrder(t *testing.T) {
	folder := t.TempDir()
	writeFile(t, folder, "20260102T000000-b.json", `{"id":"b","cmd":"score","ok":true,"site":"s","score":0.9,"why":"second","days":[`+daysJSON+`,{"name":"fresh-1","G":0.4,"rules":{"TWICE":1}}]}`)
	writeFile(t, folder, "20260101T000000-a.json", `{"id":"a","cmd":"score","ok":true,"site":"s","score":0.8,"why":"first","days":[`+daysJSON+`]}`)
	writeFile(t, folder, "20260103T000000-c.json", `{"id":"c","cmd":"score","ok":false,"site":"s","score":null,"days":[]}`)
	writeFile(t, folder, "20260104T000000-d.json", `{"id":"d","cmd":"hunt","ok":true,"site":"s","days":[`+daysJSON+`]}`)
	entries, days, err := Read(folder, "s")
	if err != nil || len(entries) != 2 || strings.Join(days, " ") != "quiet-1 scale-1" {
		t.Fatalf("got %v, %v, %v", entries, days, err)
	}
	if entries[0].HasViolation() || !entries[1].HasViolation() {
		t.Error("the violated rule is reported for the wrong entry")
	}
	table := Table("s", entries, days)
	if worth, ok := table.Value("b second, rule broken", "scale-1"); !ok || worth != 25 {
		t.Errorf("got %v, %v", worth, ok)
	}
	if err := Chart("s", entries, days).Save(folder); err != nil {
		t.Error(err)
	}
}

func TestReadRejectsUnusableJournal(t *testing.T) {
	folder := t.TempDir()
	if _, _, err := Read(folder, "s"); !errors.Is(err, ErrNoScores) {
		t.Errorf("got %v for an empty journal", err)
	}
	writeFile(t, folder, "20260101T000000-a.json", `{"id":`)
	if _, _, err := Read(folder, "s"); err == nil || !strings.Contains(err.Error(), "20260101T000000-a.json") {
		t.Errorf("got %v for a truncated entry", err)
	}
}
