/** Ownership: whoever creates a resource closes it, explicitly and once. */

/** Something that holds resources until closed. */
export interface IClosable {
  /** Gives up all that is held. A second call does nothing. */
  close(): void | Promise<void>
}

/** Owns several closables and closes them in the reverse order of their registration. */
export class CloseStack implements IClosable {
  private readonly owned: IClosable[] = []
  private closing: Promise<void> | undefined

  /**
   * @param closable what this stack owns from now on
   * @returns the same closable
   */
  add<T extends IClosable> (closable: T): T {
    this.owned.push(closable)
    return closable
  }

  /**
   * Closes everything, even if one of the owned fails to.
   * @returns settled when all are closed; rejected with the first failure
   */
  close (): Promise<void> {
    this.closing ??= this.closeAll()
    return this.closing
  }

  private async closeAll (): Promise<void> {
    const failures: unknown[] = []
    for (const closable of this.owned.reverse()) {
      try {
        await closable.close()
      } catch (failure) {
        failures.push(failure)
      }
    }
    this.owned.length = 0
    if (failures.length > 0) throw failures[0]
  }
}
