/** What the control thread knows of the platform and the fleet, and hands to the traffic thread. */
package org.bronzelug.router.control;
