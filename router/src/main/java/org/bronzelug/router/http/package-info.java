/** HTTP and sockets as both sides of the router use them. */
package org.bronzelug.router.http;
