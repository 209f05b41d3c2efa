/** Which pool serves a request, by whose key, under which limits: the configuration in force. */
package org.bronzelug.core.routing;
