/** Connections to endpoints, and what is known of each endpoint. */
package org.bronzelug.router.endpoint;
