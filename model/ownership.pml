/*
 * Ownership protocol of docs/design.md section 4 for one slice: controller C1 (epoch 1) renews the grant of
 * backend server B1, router S takes the row over (epoch 2) and may assign the slice to backend server B2.
 * Every step is one guarded command, so pauses, delays, losses and crashes are all interleavings in which a
 * step happens late or never. Time is discrete and passes independently of every other step.
 *
 * Two steps are merged into one where an extra delay only shortens a right: a nonce is received when it is
 * issued, and a voucher starts when the witness answers. Both give C1 and S the longest rights and the
 * successor the earliest bound, so every behaviour with more delay is covered.
 *
 * Invariant: B1 and B2 never hold a grant for the slice at the same time.
 *
 * Compile-time variants that must break the invariant: NO_FENCING, DURATION_FROM_ARRIVAL, NO_WAIT,
 * NO_INCARNATION, KEEP_LONGER_GRANT. Not modelled: clock drift (a constant factor on V and D in the code), a second successor.
 */

#define V 2         /* voucher duration */
#define D 2         /* grant duration */
#define TIME_MAX 7  /* long enough for voucher, grant and one takeover after another */
#define NONE 15

byte now = 1;

/* B1: what the backend server process knows. A restart forgets all but the incarnation. */
byte b1_incarnation = 1;
byte b1_epoch = 0;
byte b1_until = 0;
byte b1_slices_version = 0;
bool b1_holds_slice = false;

/* B2 serves the slice from the moment its grant is made. */
bool b2_owns = false;

/* Table row: incarnation recorded for B1 and whether S has taken it. */
byte row_incarnation = 1;
bool s_taken = false;

/* C1: the nonce held, the voucher, the order in flight to B1. */
byte c1_nonce = NONE, c1_nonce_inc;
byte c1_known_incarnation = 1;
byte c1_voucher_until = 0;
byte c1_order = NONE, c1_order_inc;
byte c1_last_used = 0;
bool c1_stopped = false;

/* Witnesses: last heartbeat answered, promise. */
byte last_heartbeat[2] = 0;
bool fenced[2] = false;

/* S. */
byte s_nonce = NONE, s_nonce_inc;
byte s_order = NONE, s_order_inc, s_order_version;
byte s_last_used = 0;
byte s_version = 1;
bool s_cleared = false;       /* B1 accepted epoch 2, or C1's grants have expired */
bool s_accept_in_flight = false;
bool s_release_in_flight = false;
bool s_released = false;
bool s_gave_up = false;       /* no more orders to B1 */
byte s_c1_last_used = NONE;   /* reported by C1 when it confirmed that it stopped */

#define MAX(a, b) ((a) > (b) -> (a) : (b))

#ifdef NO_FENCING
#define EPOCH_OK(e) true
#else
#define EPOCH_OK(e) (e >= b1_epoch)
#endif

#ifdef DURATION_FROM_ARRIVAL
#define UNTIL(nonce) (now + D)
#define FRESH(nonce) true
#else
#define UNTIL(nonce) (nonce + D)
#define FRESH(nonce) (now < nonce + D)
#endif

/*
 * A grant at a higher epoch replaces the former one, also when it ends sooner: the successor computes the end
 * of the grant from its own nonces alone. Within an epoch an older nonce never shortens the grant.
 */
#ifdef KEEP_LONGER_GRANT
#define NEW_UNTIL(e, until) MAX(b1_until, until)
#else
#define NEW_UNTIL(e, until) (e > b1_epoch -> (until) : MAX(b1_until, until))
#endif

#ifdef NO_INCARNATION
#define C1_MAY_GRANT(inc) true
#else
#define C1_MAY_GRANT(inc) (inc == c1_known_incarnation)
#endif

#define C1_EXPIRED_BY_FENCE \
    (fenced[0] && fenced[1] && now >= MAX(last_heartbeat[0], last_heartbeat[1]) + V + D)
#define C1_EXPIRED_BY_CONFIRMATION (s_c1_last_used != NONE && now >= s_c1_last_used + D)
#define B1_OWNS (b1_holds_slice && now < b1_until)

active proctype system()
{
end:
    do
    :: atomic { B1_OWNS && b2_owns -> assert(false) }

    /* Time passes whatever the processes do. */
    :: atomic { now < TIME_MAX -> now++ }

    /* B1 restarts once and forgets the highest epoch. */
    :: atomic { b1_incarnation == 1 ->
        b1_incarnation = 2; b1_epoch = 0; b1_until = 0; b1_slices_version = 0; b1_holds_slice = false }

    /* C1 receives a nonce from B1. */
    :: atomic { !c1_stopped && c1_nonce != now -> c1_nonce = now; c1_nonce_inc = b1_incarnation }

    /* C1 records a new incarnation of B1 by a conditional write, which fails once S has taken the row. */
    :: atomic { !s_taken && c1_nonce != NONE && c1_nonce_inc != c1_known_incarnation ->
        c1_known_incarnation = c1_nonce_inc; row_incarnation = c1_nonce_inc }

    /* A witness answers a heartbeat. */
    :: atomic { !c1_stopped && !fenced[0] && last_heartbeat[0] != now ->
        last_heartbeat[0] = now; c1_voucher_until = now + V }
    :: atomic { !c1_stopped && !fenced[1] && last_heartbeat[1] != now ->
        last_heartbeat[1] = now; c1_voucher_until = now + V }

    /* C1 checks its voucher and picks a nonce. The order may reach B1 at any later time. */
    :: atomic { !c1_stopped && now < c1_voucher_until && c1_nonce != NONE && c1_order == NONE &&
                C1_MAY_GRANT(c1_nonce_inc) ->
        c1_order = c1_nonce; c1_order_inc = c1_nonce_inc; c1_last_used = c1_nonce; c1_nonce = NONE }
    :: atomic { c1_order != NONE ->
        if
        :: c1_order_inc == b1_incarnation && EPOCH_OK(1) && b1_slices_version <= 1 && FRESH(c1_order) ->
            b1_until = NEW_UNTIL(1, UNTIL(c1_order)); b1_epoch = MAX(b1_epoch, 1);
            b1_holds_slice = true; b1_slices_version = 1
        :: else
        fi; c1_order = NONE }
    /* An order is lost. */
    :: atomic { c1_order != NONE -> c1_order = NONE }

    /* S takes the row, at any time: taking is always safe. */
    :: atomic { !s_taken -> s_taken = true }

    /* S fences the witnesses, or C1 confirms that it stopped. */
    :: atomic { s_taken && !fenced[0] -> fenced[0] = true }
    :: atomic { s_taken && !fenced[1] -> fenced[1] = true }
    :: atomic { s_taken && !c1_stopped -> c1_stopped = true; s_c1_last_used = c1_last_used }

    /* S reaches B1 and grants at epoch 2. */
    :: atomic { s_taken && !s_gave_up && s_nonce != now -> s_nonce = now; s_nonce_inc = b1_incarnation }
    :: atomic { s_taken && s_nonce != NONE && s_nonce_inc != row_incarnation -> row_incarnation = s_nonce_inc }
    :: atomic { s_taken && !s_gave_up && s_nonce != NONE && s_nonce_inc == row_incarnation && s_order == NONE ->
        s_order = s_nonce; s_order_inc = s_nonce_inc; s_order_version = s_version;
        s_last_used = s_nonce; s_nonce = NONE }
    :: atomic { s_order != NONE ->
        if
        :: s_order_inc == b1_incarnation && EPOCH_OK(2) && b1_slices_version <= s_order_version &&
           FRESH(s_order) ->
            b1_until = NEW_UNTIL(2, UNTIL(s_order)); b1_epoch = 2;
            b1_holds_slice = (s_order_version == 1); b1_slices_version = s_order_version;
            s_accept_in_flight = true;
            if
            :: s_order_version == 2 -> s_release_in_flight = true
            :: else
            fi
        :: else
        fi; s_order = NONE }
    :: atomic { s_order != NONE -> s_order = NONE }
    :: atomic { s_accept_in_flight -> s_cleared = true; s_accept_in_flight = false }
    :: atomic { s_release_in_flight -> s_released = true; s_release_in_flight = false }

    /* S moves the slice away: from now on its orders carry the reduced slices. */
    :: atomic { s_cleared && s_version == 1 -> s_version = 2 }

    /* S gives B1 up as lost. */
    :: atomic { s_taken && !s_gave_up -> s_gave_up = true }

    /* S assigns the slice to B2 after a confirmed release under epoch 2 ... */
    :: atomic { s_released && !b2_owns -> b2_owns = true }
    /* ... or after every grant has certainly expired. */
#ifdef NO_WAIT
    :: atomic { s_gave_up && !b2_owns && fenced[0] && fenced[1] -> b2_owns = true }
#else
    :: atomic { s_gave_up && !b2_owns && (s_last_used == 0 || now >= s_last_used + D) &&
                (s_cleared || C1_EXPIRED_BY_FENCE || C1_EXPIRED_BY_CONFIRMATION) -> b2_owns = true }
#endif
    od
}
