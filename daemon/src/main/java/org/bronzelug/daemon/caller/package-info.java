/** The calls of callers and operators over gRPC (docs/SCHEMA.md). */
package org.bronzelug.daemon.caller;
