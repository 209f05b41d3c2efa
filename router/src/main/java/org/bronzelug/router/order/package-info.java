/** Rollout of weights: orders to runners under a lease. */
package org.bronzelug.router.order;
