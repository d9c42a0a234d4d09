// Package orders carries out the decisions of core/placement: it writes plans and sends orders to engines.
//
// It is the only caller of core/placement's System besides tests. It must not import other packages of the
// daemon but journal.
package orders
