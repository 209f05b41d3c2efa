/** Non-idempotent calls run at most once (DESIGN.md "Actions"). */
package org.bronzelug.core.action;
