/** Connections between VMs that carry what one of them exchanges with an endpoint. */
package org.bronzelug.router.relay;
