// Package trafficsim measures core/routing, core/balance and core/admission in a
// discrete-event simulation with virtual time and fixed seeds. The targets are those
// of docs/design.md. A figure without a target there is only compared with a
// baseline.
package trafficsim
