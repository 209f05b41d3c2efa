/** HTTP client, small HTTP server and socket options for the router's own calls and services. */
package org.bronzelug.router.http;
