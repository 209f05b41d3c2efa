/**
 * The control plane of the router: the state of the platform's objects and of the fleet, kept by
 * the control thread and passed to the traffic thread.
 */
package org.bronzelug.router.control;
