# Bash completion for toucanctl. Source this file to enable it.
_toucanctl() {
    local cur=${COMP_WORDS[COMP_CWORD]}
    case ${COMP_WORDS[1]} in
        ticket) [ "$COMP_CWORD" = 2 ] && COMPREPLY=($(compgen -W "apply show list wait diff" -- "$cur")) ;;
        names) [ "$COMP_CWORD" = 2 ] && COMPREPLY=($(compgen -W "resolve" -- "$cur")) ;;
        explain) [ "$COMP_CWORD" = 2 ] && COMPREPLY=($(compgen -W "route" -- "$cur")) ;;
        chart) [ "$COMP_CWORD" = 2 ] && COMPREPLY=($(compgen -W "show" -- "$cur"))
            [ "$COMP_CWORD" = 3 ] && COMPREPLY=($(compgen -W "attempt claim request target" -- "$cur")) ;;
        config) [ "$COMP_CWORD" = 2 ] && COMPREPLY=($(compgen -W "check" -- "$cur")) ;;
        *) COMPREPLY=($(compgen -W "ticket status targets drain names explain chart config --help --version" -- "$cur")) ;;
    esac
    [ ${#COMPREPLY[@]} = 0 ] && COMPREPLY=($(compgen -f -W "--control --gate --token-file --json --help" -- "$cur"))
}
complete -F _toucanctl toucanctl
