/**
 * State of the traffic thread (configuration, endpoints, team rates) and the choice of endpoints.
 */
package org.bronzelug.router.traffic;
