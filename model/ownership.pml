/*
 * Ownership protocol of docs/design.md section 4 for one slice: controller C1 (epoch 1) renews the grant of
 * backend server B1, router S takes the row over (epoch 2) and may assign the slice to backend server B2.
 * Every step is one guarded command, so pauses, delays, losses and crashes are all interleavings in which a
 * step happens late or never. Time is discrete and passes independently of every other step. All times are kept as ages or remaining spans,
 * so the model is finite without a bound on time.
 *
 * Two steps are merged into one where an extra delay only shortens a right: a nonce is received when it is
 * issued, and a voucher starts when the witness answers. Both give C1 and S the longest rights and the
 * successor the earliest bound, so every behaviour with more delay is covered. The two witnesses are one
 * process: C1 may use either until both are fenced, and S uses the younger of their two reports.
 *
 * Invariant: B1 and B2 never hold a grant for the slice at the same time.
 *
 * Compile-time variants that must break the invariant: NO_FENCING, DURATION_FROM_ARRIVAL, NO_WAIT,
 * NO_INCARNATION, KEEP_LONGER_GRANT. Not modelled: clock drift (a constant factor on V and D in the code), a second successor.
 */

#define V 2           /* voucher duration */
#define D 2           /* grant duration */
#define OLD (V + D)   /* ages stop here: nothing older is distinguished */
#define NONE 15

/* B1: what the backend server process knows. A restart forgets all but the incarnation. */
byte b1_incarnation = 1;
byte b1_epoch = 0;
byte b1_remaining = 0;
byte b1_slices_version = 0;
bool b1_holds_slice = false;

/* B2 serves the slice from the moment its grant is made. */
bool b2_owns = false;

/* Table row: incarnation recorded for B1 and whether S has taken it. */
byte row_incarnation = 1;
bool s_taken = false;

/* C1: age of the nonce held, time left of the voucher, age of the nonce in the order in flight. */
byte c1_nonce = NONE, c1_nonce_inc = 1;
byte c1_known_incarnation = 1;
byte c1_voucher = 0;
byte c1_order = NONE, c1_order_inc = 1;
byte c1_last_used = OLD;
bool c1_stopped = false;

/* Witnesses: age of the last heartbeat answered, promise of both. */
byte last_heartbeat = OLD;
bool fenced = false;

/* S. */
byte s_nonce = NONE, s_nonce_inc = 1;
byte s_order = NONE, s_order_inc = 1, s_order_version = 1;
byte s_last_used = OLD;
byte s_version = 1;
bool s_cleared = false;      /* B1 accepted epoch 2 */
bool s_accept_in_flight = false;
bool s_release_in_flight = false;
bool s_released = false;
bool s_gave_up = false;      /* no more orders to B1 */
bool c1_confirmed = false;   /* C1 told S that it stopped, with the age of the nonce it used last */

#define MAX(a, b) ((a) > (b) -> (a) : (b))
#define OLDER(age) ((age) < OLD -> (age) + 1 : (age))
#define LESS(span) ((span) > 0 -> (span) - 1 : 0)

#ifdef NO_FENCING
#define EPOCH_OK(e) true
#else
#define EPOCH_OK(e) (e >= b1_epoch)
#endif

#ifdef DURATION_FROM_ARRIVAL
#define LEFT(age) D
#define FRESH(age) true
#else
#define LEFT(age) (D - (age))
#define FRESH(age) ((age) < D)
#endif

/*
 * A grant at a higher epoch replaces the former one, also when it ends sooner: the successor computes the end
 * of the grant from its own nonces alone. Within an epoch an older nonce never shortens the grant.
 */
#ifdef KEEP_LONGER_GRANT
#define NEW_REMAINING(e, left) MAX(b1_remaining, left)
#else
#define NEW_REMAINING(e, left) (e > b1_epoch -> (left) : MAX(b1_remaining, left))
#endif

#ifdef NO_INCARNATION
#define C1_MAY_GRANT(inc) true
#else
#define C1_MAY_GRANT(inc) (inc == c1_known_incarnation)
#endif

#define C1_EXPIRED_BY_FENCE (fenced && last_heartbeat >= V + D)
#define C1_EXPIRED_BY_CONFIRMATION (c1_confirmed && c1_last_used >= D)
#define B1_OWNS (b1_holds_slice && b1_remaining > 0)

active proctype system()
{
end:
    do
    :: atomic { B1_OWNS && b2_owns -> assert(false) }

    /* Time passes whatever the processes do. */
    :: atomic { true ->
        b1_remaining = LESS(b1_remaining); c1_voucher = LESS(c1_voucher);
        c1_last_used = OLDER(c1_last_used); last_heartbeat = OLDER(last_heartbeat);
        s_last_used = OLDER(s_last_used);
        c1_nonce = OLDER(c1_nonce); c1_order = OLDER(c1_order);
        s_nonce = OLDER(s_nonce); s_order = OLDER(s_order);
        if
        :: b1_remaining == 0 && b1_epoch > 0 -> b1_holds_slice = false
        :: else
        fi }

    /* B1 restarts once and forgets the highest epoch. */
    :: atomic { b1_incarnation == 1 ->
        b1_incarnation = 2; b1_epoch = 0; b1_remaining = 0; b1_slices_version = 0; b1_holds_slice = false }

    /* C1 receives a nonce from B1. */
    :: atomic { !c1_stopped && c1_nonce != 0 -> c1_nonce = 0; c1_nonce_inc = b1_incarnation }

    /* C1 records a new incarnation of B1 by a conditional write, which fails once S has taken the row. */
    :: atomic { !s_taken && c1_nonce != NONE && c1_nonce_inc != c1_known_incarnation ->
        c1_known_incarnation = c1_nonce_inc; row_incarnation = c1_nonce_inc }

    /* A witness answers a heartbeat. */
    :: atomic { !c1_stopped && !fenced && c1_voucher < V -> last_heartbeat = 0; c1_voucher = V }

    /* C1 checks its voucher and picks a nonce. The order may reach B1 at any later time, or never. */
    :: atomic { !c1_stopped && c1_voucher > 0 && c1_nonce != NONE && c1_order == NONE &&
                C1_MAY_GRANT(c1_nonce_inc) ->
        c1_order = c1_nonce; c1_order_inc = c1_nonce_inc; c1_last_used = c1_nonce; c1_nonce = NONE }
    :: atomic { c1_order != NONE ->
        if
        :: c1_order_inc == b1_incarnation && EPOCH_OK(1) && b1_slices_version <= 1 && FRESH(c1_order) ->
            b1_remaining = NEW_REMAINING(1, LEFT(c1_order)); b1_epoch = MAX(b1_epoch, 1);
            b1_holds_slice = true; b1_slices_version = 1
        :: else
        fi; c1_order = NONE }

    /* S takes the row, at any time: taking is always safe. */
    :: atomic { !s_taken -> s_taken = true }

    /* S fences both witnesses, or C1 confirms that it stopped. */
    :: atomic { s_taken && !fenced -> fenced = true }
    :: atomic { s_taken && !c1_stopped -> c1_stopped = true; c1_confirmed = true; c1_nonce = NONE }

    /* S reaches B1 and grants at epoch 2. */
    :: atomic { s_taken && !s_gave_up && s_nonce != 0 -> s_nonce = 0; s_nonce_inc = b1_incarnation }
    :: atomic { s_taken && !s_gave_up && s_nonce != NONE && s_nonce_inc != row_incarnation ->
        row_incarnation = s_nonce_inc }
    :: atomic { s_taken && !s_gave_up && s_nonce != NONE && s_nonce_inc == row_incarnation && s_order == NONE ->
        s_order = s_nonce; s_order_inc = s_nonce_inc; s_order_version = s_version;
        s_last_used = s_nonce; s_nonce = NONE }
    :: atomic { s_order != NONE ->
        if
        :: s_order_inc == b1_incarnation && EPOCH_OK(2) && b1_slices_version <= s_order_version &&
           FRESH(s_order) ->
            b1_remaining = NEW_REMAINING(2, LEFT(s_order)); b1_epoch = 2;
            b1_holds_slice = (s_order_version == 1); b1_slices_version = s_order_version;
            s_accept_in_flight = true;
            if
            :: s_order_version == 2 -> s_release_in_flight = true
            :: else
            fi
        :: else
        fi; s_order = NONE }
    :: atomic { s_accept_in_flight -> s_cleared = true; s_accept_in_flight = false }
    :: atomic { s_release_in_flight -> s_released = true; s_release_in_flight = false }

    /* S moves the slice away: from now on its orders carry the reduced slices. */
    :: atomic { s_cleared && s_version == 1 -> s_version = 2 }

    /* S gives B1 up as lost. */
    :: atomic { s_taken && !s_gave_up -> s_gave_up = true; s_nonce = NONE }

    /* S assigns the slice to B2 after a confirmed release under epoch 2 ... */
    :: atomic { s_released && !b2_owns -> b2_owns = true }
    /* ... or after every grant has certainly expired. */
#ifdef NO_WAIT
    :: atomic { s_gave_up && !b2_owns && fenced -> b2_owns = true }
#else
    :: atomic { s_gave_up && !b2_owns && s_last_used >= D &&
                (s_cleared || C1_EXPIRED_BY_FENCE || C1_EXPIRED_BY_CONFIRMATION) -> b2_owns = true }
#endif
    od
}
