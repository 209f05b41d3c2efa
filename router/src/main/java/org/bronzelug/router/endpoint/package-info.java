/** Connections to endpoints, and the responses that arrive on them. */
package org.bronzelug.router.endpoint;
