/** The platform's object API (docs/PROTOCOL.md "Platform"). */
package org.bronzelug.daemon.platform;
