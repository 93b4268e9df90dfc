/** Ownership of resources: the creator of a resource closes it explicitly and once. */

/** An object that holds resources until it is closed. */
export interface IClosable {
  /** Releases all held resources. A second call does nothing. */
  close(): void | Promise<void>
}

/** Owns several closables and closes them in the reverse order of their addition. */
export class CloseStack implements IClosable {
  private readonly closables: IClosable[] = []
  private closing: Promise<void> | undefined

  /**
   * @param closable the closable that this stack owns from now on
   * @returns the same closable
   */
  add<T extends IClosable> (closable: T): T {
    this.closables.push(closable)
    return closable
  }

  /**
   * Closes all owned closables, even if closing one of them fails.
   * @returns resolves when all are closed; rejects with the first error
   */
  close (): Promise<void> {
    this.closing ??= this.closeAll()
    return this.closing
  }

  private async closeAll (): Promise<void> {
    const errors: unknown[] = []
    for (const closable of this.closables.reverse()) {
      try {
        await closable.close()
      } catch (error) {
        errors.push(error)
      }
    }
    this.closables.length = 0
    if (errors.length > 0) throw errors[0]
  }
}
