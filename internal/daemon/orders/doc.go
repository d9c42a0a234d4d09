// Package orders executes the decisions of core/placement: it writes plans and sends orders to engines.
//
// Apart from tests, only this package uses placement.System. It must not import any other package of the
// daemon except journal.
package orders
