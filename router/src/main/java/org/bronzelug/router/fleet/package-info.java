/** Membership of the fleet: gossip of state updates and failure detection. */
package org.bronzelug.router.fleet;
