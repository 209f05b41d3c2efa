/** What the HTTP clients of the daemon have in common. */
package org.bronzelug.daemon.http;
