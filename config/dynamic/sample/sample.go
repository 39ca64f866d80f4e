// Package sample provides valid configuration documents for tests.
package sample

import "fmt"

// Document returns a valid document with one class of kind call. Tests use different
// deployment names to get documents that differ.
func Document(deployment string) string {
	return fmt.Sprintf(`deployment: %s
classes:
  - name: history
    kind: call
    service: history
    repeatable: true
    targets:
      answered_within: 2s
      for: 95 in 100
`, deployment)
}
