// Package trafficsim measures core/routing, core/balance and core/admission in a
// discrete-event model with virtual time and fixed seeds. Targets are those of
// docs/design.md; a figure without a target there is compared with a baseline
// only.
package trafficsim
