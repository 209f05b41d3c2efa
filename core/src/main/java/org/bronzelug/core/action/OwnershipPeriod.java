package org.bronzelug.core.action;

import org.bronzelug.core.membership.MemberIdentity;

/**
 * An incarnation whose ids a ledger owns, and the number of that incarnation's current period.
 *
 * <p>Time is divided into periods, numbered from the start of an incarnation, and an id contains
 * the period in which its prefix was issued (see {@link ActionLedger}). Invariant: the number is
 * never lower than that of any period in which the incarnation issued a prefix, also after its ids
 * were transferred, since the new owner continues counting from the number that the previous owner
 * sent. So an id whose record the previous owner has deleted because of its age is too old for the
 * new owner as well. If the new owner counted from the transfer instead, it would run such a call a
 * second time.
 *
 * <p>Immutable.
 *
 * @param identity the incarnation
 * @param period number of its current period
 */
public record OwnershipPeriod(MemberIdentity identity, long period) {}
