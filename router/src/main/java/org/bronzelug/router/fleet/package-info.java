/** The VMs of the fleet: who is heard, and what they tell. */
package org.bronzelug.router.fleet;
