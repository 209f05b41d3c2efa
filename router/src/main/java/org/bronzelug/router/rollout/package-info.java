/** Rollout of software versions: follows the orders and writes how they end. */
package org.bronzelug.router.rollout;
