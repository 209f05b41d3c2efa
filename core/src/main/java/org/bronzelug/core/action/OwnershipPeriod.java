package org.bronzelug.core.action;

import org.bronzelug.core.membership.MemberIdentity;

/**
 * An incarnation whose ids a ledger answers for, and the number of that incarnation's present
 * period. Immutable.
 */
public record OwnershipPeriod(MemberIdentity identity, long period) {}
