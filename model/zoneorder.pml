/* Orders that set the state of an availability zone. An operator gives each order
 * to one control VM, gives up on it at any time, and gives the next order to
 * another VM only then. Each VM may be delayed before each of its steps. The log
 * applies one proposal after the other.
 *
 * Verified: once the last order is acknowledged, the zone has the state of the last
 * order and keeps it.
 *
 * UNCONDITIONAL: the log applies each proposal, whatever came before it.
 * UNCHECKED: a VM does not check whether the operator still waits.
 * LATECOUNT: a VM reads the number of orders after the check instead of before it.
 */

#define ORDERS 3

byte zone_state = 0;    /* the order that was applied last, from 1 */
byte orders = 0;        /* proposals that took effect */
bool abandoned[ORDERS]; /* the operator has hung up on order i */
bool acked[ORDERS];
bool finished[ORDERS];  /* the operator's attempt at order i is over */

/* A control VM that handles order i. */
proctype ControlVM(byte i) {
  byte count;
  bool gone;
  bool retry = true;
  do
  :: retry ->
    retry = false;
#ifdef LATECOUNT
    gone = abandoned[i];
    count = orders;
#else
    count = orders;
    gone = abandoned[i];
#endif
#ifdef UNCHECKED
    gone = false;
#endif
    if
    :: gone -> skip
    :: else ->
      atomic { /* the log applies the proposal */
#ifndef UNCONDITIONAL
        if
        :: count != orders -> retry = true
        :: else ->
#endif
          zone_state = i + 1;
          orders++;
          acked[i] = true
#ifndef UNCONDITIONAL
        fi
#endif
      }
    fi
  :: else -> break
  od
}

/* The operator gives the orders in turn. The last one waits until it is
 * acknowledged. */
active proctype Operator() {
  byte i = 0;
  do
  :: i < ORDERS - 1 ->
    run ControlVM(i);
    if
    :: acked[i] -> skip
    :: abandoned[i] = true /* gives up at any time */
    fi;
    finished[i] = true;
    i++
  :: else -> break
  od;
  run ControlVM(ORDERS - 1);
  acked[ORDERS - 1];
  finished[ORDERS - 1] = true
}

/* Once the last order is acknowledged, no earlier one takes effect. */
active proctype Monitor() {
  finished[ORDERS - 1];
  end: do
  :: assert(zone_state == ORDERS)
  od
}
